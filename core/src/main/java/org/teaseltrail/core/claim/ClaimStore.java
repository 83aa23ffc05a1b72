package org.teaseltrail.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;
import org.teaseltrail.core.message.ClaimState;
import org.teaseltrail.core.message.EndKind;

/**
 * Holds all claims. Deterministic: time is the log's, and order is that of the calls, so members
 * that apply the same log hold the same claims.
 */
public final class ClaimStore {

  private final Map<ClaimKey, ClaimRecord> byKey = new HashMap<>();
  private final Map<RequestId, ClaimKey> byHolder = new HashMap<>();

  /** Keys by the time of the last change, oldest first, apart by what may be dropped when full. */
  private final Map<ClaimKey, ClaimRecord> running = new LinkedHashMap<>();

  private final Map<ClaimKey, ClaimRecord> finishedIdempotent = new LinkedHashMap<>();
  private final Map<ClaimKey, ClaimRecord> finishedNonIdempotent = new LinkedHashMap<>();
  private ClaimLimits limits = ClaimLimits.DEFAULT;

  /**
   * Opens a claim for a request that is about to be granted, or grants its holder again.
   *
   * <p>A holder may be granted again because its entry VM has said that the grant before was not
   * dispatched, and because that VM dispatches a request id at most once.
   *
   * @param requested the claim wished for; its attempt and state are not looked at
   * @return the claim opened, or why not
   */
  public OpenClaimResult open(ClaimRecord requested) {
    ClaimRecord present = byKey.get(requested.key());
    if (present != null) {
      return openHeld(present, requested);
    }
    if (byKey.size() >= limits.maxClaims() && !dropOldestIdempotent()) {
      return new OpenClaimResult.Full();
    }
    ClaimRecord opened =
        new ClaimRecord(
            requested.key(),
            requested.bodyDigest(),
            requested.nonIdempotent(),
            requested.holder(),
            requested.vm(),
            requested.upstream(),
            1,
            ClaimState.RUNNING,
            requested.changedAtMs());
    put(opened);
    return new OpenClaimResult.Opened(opened);
  }

  /**
   * Ends the claim of a request. What is finished stays as it is: an end told twice, or by the VM
   * and its adopter, counts once.
   *
   * @param holder the request
   * @param kind how it ended
   * @param nowMs log time
   * @return the claim after that, or empty if the request holds none
   */
  public Optional<ClaimRecord> finish(RequestId holder, EndKind kind, long nowMs) {
    Optional<ClaimRecord> present = byHolder(holder);
    if (present.isEmpty() || !mayFinish(present.get(), kind)) {
      return present;
    }
    ClaimState end = kind == EndKind.COMPLETED ? ClaimState.COMPLETED : ClaimState.MAY_HAVE_RUN;
    ClaimRecord finished = present.get().finished(end, nowMs);
    put(finished);
    return Optional.of(finished);
  }

  /**
   * Releases the claim of a request that did not run, so that the key is free again.
   *
   * <p>Guards against a release that comes late: the holder was granted again meanwhile and runs,
   * and a second request under the freed key would run the work twice. The attempt tells the two
   * apart.
   *
   * @param holder the request
   * @param attempt the grant that was not dispatched
   * @return whether the key is free now
   */
  public boolean release(RequestId holder, int attempt) {
    Optional<ClaimRecord> present = byHolder(holder);
    if (present.isEmpty()) {
      return true;
    }
    ClaimRecord claim = present.get();
    if (claim.attempt() != attempt || claim.isFinished()) {
      return false;
    }
    remove(claim);
    return true;
  }

  /**
   * Lets another VM take the reading of a running answer over.
   *
   * @param holder the request
   * @param vm the VM that reads the answer from now on
   * @param nowMs log time
   * @return the claim after that, or empty if the request holds none
   */
  public Optional<ClaimRecord> adopt(RequestId holder, VmId vm, long nowMs) {
    Optional<ClaimRecord> present = byHolder(holder);
    if (present.isEmpty() || present.get().isFinished()) {
      return present;
    }
    ClaimRecord adopted = present.get().adopted(vm, nowMs);
    put(adopted);
    return Optional.of(adopted);
  }

  /**
   * Drops what is older than its retention, and settles running claims that nobody has ended.
   *
   * @param newLimits the limits from now on
   * @param nowMs log time
   * @return the count of claims dropped or settled
   */
  public int expire(ClaimLimits newLimits, long nowMs) {
    limits = newLimits;
    int settled = settleRunning(nowMs);
    return settled + dropOld(finishedIdempotent, nowMs) + dropOld(finishedNonIdempotent, nowMs);
  }

  /** Returns the claim on a key, if any. */
  public Optional<ClaimRecord> find(ClaimKey key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** Returns the claim that a request holds, if any. */
  public Optional<ClaimRecord> byHolder(RequestId holder) {
    return Optional.ofNullable(byHolder.get(holder)).map(byKey::get);
  }

  /** Returns the count of claims. */
  public int size() {
    return byKey.size();
  }

  /** Returns whether a claim is old enough to be dropped or settled. */
  public boolean hasExpired(long nowMs) {
    return isOld(running, limits.runningRetentionMs(), nowMs)
        || isOld(finishedIdempotent, limits.finishedRetentionMs(), nowMs)
        || isOld(finishedNonIdempotent, limits.finishedRetentionMs(), nowMs);
  }

  /** Returns the limits in force. */
  public ClaimLimits limits() {
    return limits;
  }

  /** Returns all claims, oldest change first within the running, then within the finished. */
  public List<ClaimRecord> toList() {
    List<ClaimRecord> claims = new ArrayList<>(byKey.size());
    claims.addAll(running.values());
    claims.addAll(finishedIdempotent.values());
    claims.addAll(finishedNonIdempotent.values());
    return claims;
  }

  /**
   * Builds the book from a snapshot.
   *
   * @param claims what {@link #toList} gave
   * @param limits the limits in force
   * @return a book that goes on as the one the snapshot was taken of
   */
  public static ClaimStore restore(List<ClaimRecord> claims, ClaimLimits limits) {
    ClaimStore book = new ClaimStore();
    book.limits = limits;
    claims.forEach(book::put);
    return book;
  }

  private OpenClaimResult openHeld(ClaimRecord present, ClaimRecord wish) {
    if (!present.bodyDigest().equals(wish.bodyDigest())) {
      return new OpenClaimResult.DigestConflict(present);
    }
    if (!present.holder().equals(wish.holder()) || present.isFinished()) {
      return new OpenClaimResult.Held(present);
    }
    ClaimRecord again = present.regranted(wish.vm(), wish.upstream(), wish.changedAtMs());
    put(again);
    return new OpenClaimResult.Opened(again);
  }

  /** A whole answer that reached an adopter settles what the first VM gave up as perhaps run. */
  private static boolean mayFinish(ClaimRecord claim, EndKind kind) {
    return !claim.isFinished()
        || claim.state() == ClaimState.MAY_HAVE_RUN && kind == EndKind.COMPLETED;
  }

  private int settleRunning(long nowMs) {
    List<ClaimRecord> old =
        running.values().stream()
            .takeWhile(claim -> isOld(claim, limits.runningRetentionMs(), nowMs))
            .toList();
    old.forEach(claim -> put(claim.finished(ClaimState.MAY_HAVE_RUN, nowMs)));
    return old.size();
  }

  private int dropOld(Map<ClaimKey, ClaimRecord> finished, long nowMs) {
    List<ClaimRecord> old =
        finished.values().stream()
            .takeWhile(claim -> isOld(claim, limits.finishedRetentionMs(), nowMs))
            .toList();
    old.forEach(this::remove);
    return old.size();
  }

  /** Non-idempotent claims are never dropped early: their key would be free to run again. */
  private boolean dropOldestIdempotent() {
    Iterator<ClaimRecord> oldest = finishedIdempotent.values().iterator();
    if (!oldest.hasNext()) {
      return false;
    }
    remove(oldest.next());
    return true;
  }

  private void put(ClaimRecord claim) {
    ClaimRecord before = byKey.get(claim.key());
    if (before != null) {
      Invariant.check(before.holder().equals(claim.holder()), InvariantName.ONE_CLAIM_PER_KEY);
      Invariant.check(isForward(before.state(), claim.state()), InvariantName.CLAIM_STATE_FORWARD);
      remove(before);
    }
    ClaimKey otherKey = byHolder.put(claim.holder(), claim.key());
    Invariant.check(otherKey == null, InvariantName.ONE_CLAIM_PER_KEY);
    byKey.put(claim.key(), claim);
    queueOf(claim).put(claim.key(), claim);
  }

  private void remove(ClaimRecord claim) {
    byKey.remove(claim.key());
    byHolder.remove(claim.holder());
    queueOf(claim).remove(claim.key());
  }

  private Map<ClaimKey, ClaimRecord> queueOf(ClaimRecord claim) {
    if (!claim.isFinished()) {
      return running;
    }
    return claim.nonIdempotent() ? finishedNonIdempotent : finishedIdempotent;
  }

  private static boolean isForward(ClaimState before, ClaimState after) {
    return after == before
        || before == ClaimState.RUNNING
        || before == ClaimState.MAY_HAVE_RUN && after == ClaimState.COMPLETED;
  }

  private static boolean isOld(Map<ClaimKey, ClaimRecord> queue, long retentionMs, long nowMs) {
    return !queue.isEmpty() && isOld(queue.values().iterator().next(), retentionMs, nowMs);
  }

  private static boolean isOld(ClaimRecord claim, long retentionMs, long nowMs) {
    return nowMs - claim.changedAtMs() >= retentionMs;
  }
}
