package org.teaseltrail.core.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.VmId;

/**
 * Is an entry VM's session with the leading control member: until when what the VM holds may be
 * taken for the newest.
 *
 * <p>Guards against a VM that is cut off, or frozen and thawed, and goes on under a plan that was
 * replaced, so that a revoked key still runs. The session is counted from the sending of the sync
 * that was confirmed, on a clock that also counts the time of a freeze; and a confirmation counts
 * only once the plan it names is in force here.
 */
public final class ServingSession {

  private record Sent(VmId member, long atNs) {}

  private record Pending(long planVersion, long untilNs) {}

  private final long lifetimeNs;
  private final Map<Long, Sent> open = new HashMap<>();
  private long lastSequence;
  private FencingNumber newestFencing = new FencingNumber(0);
  private long planVersion = -1;
  private Pending pending;
  private boolean confirmed;
  private long validUntilNs;
  private VmId leader;
  private long leaderAnsweredNs;

  /**
   * Creates a session that isn't valid yet.
   *
   * @param lifetimeMs how long a confirmed sync is good for, in milliseconds
   */
  public ServingSession(long lifetimeMs) {
    lifetimeNs = lifetimeMs * 1_000_000L;
  }

  /**
   * Notes that a sync is sent.
   *
   * @param member to whom
   * @param nowNs time on the clock that counts freezes
   * @return the sync's sequence
   */
  public long recordSync(VmId member, long nowNs) {
    lastSequence++;
    open.values().removeIf(sent -> nowNs - sent.atNs() > lifetimeNs);
    open.put(lastSequence, new Sent(member, nowNs));
    return lastSequence;
  }

  /**
   * Takes a confirmation.
   *
   * @param reply the confirmation
   * @param nowNs time on the clock that counts freezes
   * @return whether it counts: it answers an open sync and is of the newest leadership seen
   */
  public boolean confirmed(ServingReply.Confirmed reply, long nowNs) {
    Sent sent = open.remove(reply.sequence());
    if (sent == null || !isCurrentLeadership(reply.fencing())) {
      return false;
    }
    newestFencing = reply.fencing();
    leader = sent.member();
    leaderAnsweredNs = nowNs;
    pending = new Pending(reply.planVersion(), sent.atNs() + lifetimeNs);
    countIfInForce();
    return true;
  }

  /**
   * Takes a refusal: the member doesn't lead.
   *
   * @param reply the refusal
   */
  public void notLeading(ServingReply.NotLeading reply) {
    Sent sent = open.remove(reply.sequence());
    if (sent != null && sent.member().equals(leader)) {
      leader = null;
    }
  }

  /**
   * Notes that a plan is in force here.
   *
   * @param version its version
   */
  public void recordPlanVersion(long version) {
    planVersion = version;
    countIfInForce();
  }

  /**
   * Tells whether what comes from a leadership may be applied.
   *
   * @param fencing the leadership
   * @return false if a newer one was seen
   */
  public boolean isCurrentLeadership(FencingNumber fencing) {
    return fencing.compareTo(newestFencing) >= 0;
  }

  /**
   * Returns the newest leadership that has confirmed.
   *
   * @return its number, 0 for none
   */
  public FencingNumber newestFencing() {
    return newestFencing;
  }

  /**
   * Tells whether requests may be admitted.
   *
   * @param nowNs time on the clock that counts freezes
   * @return true while nothing newer can have been acknowledged for longer than the lifetime
   */
  public boolean isValid(long nowNs) {
    return confirmed && nowNs < validUntilNs;
  }

  /**
   * Returns the leader's VM if it has answered lately.
   *
   * @param nowNs time on the clock that counts freezes
   * @param timeoutNs how long ago it may have answered, in nanoseconds
   * @return the VM to send syncs to, or empty to ask all members
   */
  public Optional<VmId> leader(long nowNs, long timeoutNs) {
    boolean silent = leader == null || nowNs - leaderAnsweredNs > timeoutNs;
    return silent ? Optional.empty() : Optional.of(leader);
  }

  private void countIfInForce() {
    if (pending == null || planVersion < pending.planVersion()) {
      return;
    }
    validUntilNs = confirmed ? Math.max(validUntilNs, pending.untilNs()) : pending.untilNs();
    confirmed = true;
    pending = null;
  }
}
