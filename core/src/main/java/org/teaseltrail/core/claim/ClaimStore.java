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
 * Stores all claims on idempotency keys. The store is deterministic: it uses log time, and its
 * order depends only on the order of the calls, so that members which apply the same log hold the
 * same claims.
 */
public final class ClaimStore {

  private final Map<ClaimKey, ClaimRecord> byKey = new HashMap<>();
  private final Map<RequestId, ClaimKey> byHolder = new HashMap<>();

  /**
   * Claims ordered by the time of their last change, oldest first. Running and finished claims are
   * kept apart because they have different retention, and finished idempotent ones because only
   * these may be dropped when the store is full.
   */
  private final Map<ClaimKey, ClaimRecord> running = new LinkedHashMap<>();

  private final Map<ClaimKey, ClaimRecord> finishedIdempotent = new LinkedHashMap<>();
  private final Map<ClaimKey, ClaimRecord> finishedNonIdempotent = new LinkedHashMap<>();
  private ClaimLimits limits = ClaimLimits.DEFAULT;

  /**
   * Opens a claim for a request that is about to be granted, or updates the claim of a request that
   * is granted again.
   *
   * <p>Granting the holder again is safe because its entry VM has reported that the previous grant
   * was not dispatched, and because that VM dispatches a request id at most once.
   *
   * @param requested the requested claim; its attempt and state are ignored
   * @return the opened claim, or the reason why it was not opened
   */
  public OpenClaimResult open(ClaimRecord requested) {
    ClaimRecord present = byKey.get(requested.key());
    if (present != null) {
      return reopen(present, requested);
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
   * Finishes the claim of a request. A finished claim doesn't change, so that an end which is
   * reported twice, or both by the original VM and by the VM that took the stream over, counts
   * once. The exception is a claim that may have run: a complete answer still completes it.
   *
   * @param holder the request
   * @param kind how the request ended
   * @param nowMs log time
   * @return the resulting claim, or empty if the request holds none
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
   * Releases the claim of a request that did not run, so that its key can be claimed again.
   *
   * <p>The attempt number guards against a late release: if the holder was granted again in the
   * meantime and is running, a second request could claim the freed key and run the work twice.
   *
   * @param holder the request
   * @param attempt the grant that was not dispatched
   * @return whether the key is free
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
   * Transfers the reading of a running answer to another VM.
   *
   * @param holder the request
   * @param vm the VM that reads the answer from now on
   * @param nowMs log time
   * @return the resulting claim, or empty if the request holds none
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
   * Drops claims whose retention has passed, and marks running claims whose end was not reported in
   * time as possibly run.
   *
   * @param newLimits the limits to apply from now on
   * @param nowMs log time
   * @return number of dropped or changed claims
   */
  public int expire(ClaimLimits newLimits, long nowMs) {
    limits = newLimits;
    int expiredRunning = expireRunning(nowMs);
    return expiredRunning
        + dropExpired(finishedIdempotent, nowMs)
        + dropExpired(finishedNonIdempotent, nowMs);
  }

  /** Returns the claim on a key, if there is one. */
  public Optional<ClaimRecord> find(ClaimKey key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** Returns the claim that a request holds, if there is one. */
  public Optional<ClaimRecord> byHolder(RequestId holder) {
    return Optional.ofNullable(byHolder.get(holder)).map(byKey::get);
  }

  /** Returns the number of claims. */
  public int size() {
    return byKey.size();
  }

  /** Returns whether the retention of any claim has passed. */
  public boolean hasExpired(long nowMs) {
    return isExpired(running, limits.runningRetentionMs(), nowMs)
        || isExpired(finishedIdempotent, limits.finishedRetentionMs(), nowMs)
        || isExpired(finishedNonIdempotent, limits.finishedRetentionMs(), nowMs);
  }

  /** Returns the current limits. */
  public ClaimLimits limits() {
    return limits;
  }

  /**
   * Returns all claims: running ones first, then finished ones, each ordered by the time of their
   * last change.
   */
  public List<ClaimRecord> toList() {
    List<ClaimRecord> claims = new ArrayList<>(byKey.size());
    claims.addAll(running.values());
    claims.addAll(finishedIdempotent.values());
    claims.addAll(finishedNonIdempotent.values());
    return claims;
  }

  /**
   * Restores a store from a snapshot.
   *
   * @param claims the result of {@link #toList}
   * @param limits the limits at the time of the snapshot
   * @return a store in the same state as the one from which the snapshot was taken
   */
  public static ClaimStore restore(List<ClaimRecord> claims, ClaimLimits limits) {
    ClaimStore store = new ClaimStore();
    store.limits = limits;
    claims.forEach(store::put);
    return store;
  }

  private OpenClaimResult reopen(ClaimRecord present, ClaimRecord requested) {
    if (!present.bodyDigest().equals(requested.bodyDigest())) {
      return new OpenClaimResult.DigestConflict(present);
    }
    if (!present.holder().equals(requested.holder()) || present.isFinished()) {
      return new OpenClaimResult.Held(present);
    }
    ClaimRecord regranted =
        present.regranted(requested.vm(), requested.upstream(), requested.changedAtMs());
    put(regranted);
    return new OpenClaimResult.Opened(regranted);
  }

  /**
   * A complete answer that was read by the VM that took the stream over completes a claim that the
   * original VM reported as possibly run.
   */
  private static boolean mayFinish(ClaimRecord claim, EndKind kind) {
    return !claim.isFinished()
        || claim.state() == ClaimState.MAY_HAVE_RUN && kind == EndKind.COMPLETED;
  }

  private int expireRunning(long nowMs) {
    List<ClaimRecord> expired =
        running.values().stream()
            .takeWhile(claim -> isExpired(claim, limits.runningRetentionMs(), nowMs))
            .toList();
    expired.forEach(claim -> put(claim.finished(ClaimState.MAY_HAVE_RUN, nowMs)));
    return expired.size();
  }

  private int dropExpired(Map<ClaimKey, ClaimRecord> finished, long nowMs) {
    List<ClaimRecord> expired =
        finished.values().stream()
            .takeWhile(claim -> isExpired(claim, limits.finishedRetentionMs(), nowMs))
            .toList();
    expired.forEach(this::remove);
    return expired.size();
  }

  /**
   * Drops the oldest finished idempotent claim. Non-idempotent claims are never dropped early,
   * because a request with the same key could then run again.
   */
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

  private static boolean isExpired(Map<ClaimKey, ClaimRecord> queue, long retentionMs, long nowMs) {
    return !queue.isEmpty() && isExpired(queue.values().iterator().next(), retentionMs, nowMs);
  }

  private static boolean isExpired(ClaimRecord claim, long retentionMs, long nowMs) {
    return nowMs - claim.changedAtMs() >= retentionMs;
  }
}
