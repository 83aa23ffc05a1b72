package org.teaseltrail.core.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.VmId;

/**
 * Session of an entry VM with the leading control member. It determines until when the VM may treat
 * its plan as current.
 *
 * <p>A VM that is partitioned from the leader, or was paused, would otherwise continue under a
 * replaced plan and admit requests with a revoked key. The lifetime is therefore counted from the
 * time at which the confirmed sync was sent, on a clock that includes the time of a pause. A
 * confirmation takes effect only after the VM applies the plan version that it names.
 */
public final class ServingSession {

  private record Sent(VmId member, long atNs) {}

  private record Pending(long planVersion, long untilNs) {}

  private final long lifetimeNs;
  private final Map<Long, Sent> pendingSyncs = new HashMap<>();
  private long lastSequence;
  private FencingNumber newestFencing = new FencingNumber(0);
  private long planVersion = -1;
  private Pending pending;
  private boolean confirmed;
  private long validUntilNs;
  private VmId leader;
  private long leaderRepliedNs;
  private long confirmedSyncNs = Long.MIN_VALUE;
  private long confirmedRegistryRevision;

  /**
   * Creates a session that is not valid yet.
   *
   * @param lifetimeMs validity of a confirmed sync in milliseconds
   */
  public ServingSession(long lifetimeMs) {
    lifetimeNs = lifetimeMs * 1_000_000L;
  }

  /**
   * Records that a sync is sent.
   *
   * @param member the receiving member
   * @param nowNs current time, on a clock that includes pauses
   * @return the sync's sequence
   */
  public long recordSync(VmId member, long nowNs) {
    lastSequence++;
    pendingSyncs.values().removeIf(sent -> nowNs - sent.atNs() > lifetimeNs);
    pendingSyncs.put(lastSequence, new Sent(member, nowNs));
    return lastSequence;
  }

  /**
   * Handles a confirmation.
   *
   * @param reply the confirmation
   * @param nowNs current time, on a clock that includes pauses
   * @return true if the confirmation was accepted: it answers a pending sync and is not from an
   *     older leadership than the newest known one
   */
  public boolean confirmed(ServingReply.Confirmed reply, long nowNs) {
    Sent sent = pendingSyncs.remove(reply.sequence());
    if (sent == null || !isCurrentLeadership(reply.fencing())) {
      return false;
    }
    newestFencing = reply.fencing();
    leader = sent.member();
    leaderRepliedNs = nowNs;
    confirmedSyncNs = Math.max(confirmedSyncNs, sent.atNs());
    confirmedRegistryRevision = reply.registryRevision();
    pending = new Pending(reply.planVersion(), sent.atNs() + lifetimeNs);
    extendIfPlanApplied();
    return true;
  }

  /**
   * Handles a rejection by a member that is not the leader.
   *
   * @param reply the rejection
   */
  public void notLeading(ServingReply.NotLeading reply) {
    Sent sent = pendingSyncs.remove(reply.sequence());
    if (sent != null && sent.member().equals(leader)) {
      leader = null;
    }
  }

  /**
   * Records the version of the plan that the VM applies.
   *
   * @param version the version
   */
  public void recordPlanVersion(long version) {
    planVersion = version;
    extendIfPlanApplied();
  }

  /**
   * Returns whether messages of a leadership may be applied.
   *
   * @param fencing fencing number of the leadership
   * @return false if a newer leadership is known
   */
  public boolean isCurrentLeadership(FencingNumber fencing) {
    return fencing.compareTo(newestFencing) >= 0;
  }

  /**
   * Returns the fencing number of the newest leadership that has confirmed a sync.
   *
   * @return the number, 0 if there is none
   */
  public FencingNumber newestFencing() {
    return newestFencing;
  }

  /**
   * Returns whether registrations are as new as the leader's were recently.
   *
   * @param heldRevision revision of the registrations that the VM holds
   * @param maxAgeNs maximum age of the newest sync that was confirmed, in nanoseconds
   * @param nowNs current time, on a clock that includes pauses
   * @return false if the leader has newer ones, or may have had some for longer than that
   */
  public boolean hasRecentRegistry(long heldRevision, long maxAgeNs, long nowNs) {
    boolean isRecent = confirmed && nowNs - confirmedSyncNs <= maxAgeNs;
    return isRecent && heldRevision >= confirmedRegistryRevision;
  }

  /**
   * Returns whether requests may be admitted.
   *
   * @param nowNs current time, on a clock that includes pauses
   * @return true until the lifetime has passed since the last effective sync was sent; until then,
   *     any newer plan was acknowledged less than one lifetime ago
   */
  public boolean isValid(long nowNs) {
    return confirmed && nowNs < validUntilNs;
  }

  /**
   * Returns the leader's VM if the leader has replied recently.
   *
   * @param nowNs current time, on a clock that includes pauses
   * @param timeoutNs maximum age of the leader's last reply, in nanoseconds
   * @return the VM to which syncs are sent, or empty if they must be sent to all members
   */
  public Optional<VmId> leader(long nowNs, long timeoutNs) {
    boolean timedOut = leader == null || nowNs - leaderRepliedNs > timeoutNs;
    return timedOut ? Optional.empty() : Optional.of(leader);
  }

  private void extendIfPlanApplied() {
    if (pending == null || planVersion < pending.planVersion()) {
      return;
    }
    validUntilNs = confirmed ? Math.max(validUntilNs, pending.untilNs()) : pending.untilNs();
    confirmed = true;
    pending = null;
  }
}
