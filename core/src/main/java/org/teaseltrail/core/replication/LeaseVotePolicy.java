package org.teaseltrail.core.replication;

/**
 * Decides whether a vote of this member could violate a leader's lease.
 *
 * <p>A voter that has received a message from a leader refuses its vote for a complete lease,
 * measured on its own clock from the receipt. The leader measures the lease from the sending of the
 * message, minus a margin for clock drift. Any quorum that elects a new leader has a voter in
 * common with the quorum that replied to the old one, so the old lease has expired before the new
 * leader has its votes. Without this rule a leader that is partitioned or slow would continue while
 * another is elected, and both would grant the same upstream.
 *
 * <p>After a restart the time of the last leader contact is unknown. The member therefore refuses
 * its vote until a complete lease has passed since the end of its previous incarnation.
 */
final class LeaseVotePolicy {

  private final long leaseNs;
  private final long previousIncarnationEndedNs;
  private long heardNs;
  private boolean heard;

  LeaseVotePolicy(ReplicaSettings settings, long previousIncarnationEndedNs) {
    this.leaseNs = settings.leaseNs();
    this.previousIncarnationEndedNs = previousIncarnationEndedNs;
  }

  void onLeaderContact(long nowNs) {
    heard = true;
    heardNs = nowNs;
  }

  /** Returns whether a lease may still be in effect from before the restart. */
  boolean isWithinStartupLease(long nowNs) {
    return nowNs - previousIncarnationEndedNs < leaseNs;
  }

  /**
   * Returns whether this member may grant its vote.
   *
   * @param handOver whether the leader itself has released its lease for this election
   */
  boolean canVote(boolean handOver, long nowNs) {
    if (isWithinStartupLease(nowNs)) {
      return false;
    }
    return handOver || !heard || nowNs - heardNs >= leaseNs;
  }
}
