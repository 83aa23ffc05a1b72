package org.teaseltrail.core.replication;

/**
 * Decides when this member's vote would endanger a leader's lease.
 *
 * <p>Failure: a leader that is cut off, or slow, goes on in the belief that it leads while others
 * elect a second one; both grant the same upstream. The guard: whoever has heard from a leader
 * refuses its vote for the whole lease, counted on its own clock from the hearing; the leader
 * counts the lease from its sending, less a margin for drift. A quorum that elects shares a voter
 * with the quorum that answered the leader, so the old lease is over before the new leader has its
 * votes. A restart forgets when this member last heard from a leader, so it waits until a whole
 * lease after the end of its last life.
 */
final class VoteGuard {

  private final long leaseNs;
  private final long lastLifeEndedNs;
  private long heardNs;
  private boolean heard;

  VoteGuard(ReplicaSettings settings, long lastLifeEndedNs) {
    this.leaseNs = settings.leaseNs();
    this.lastLifeEndedNs = lastLifeEndedNs;
  }

  void heardFromLeader(long nowNs) {
    heard = true;
    heardNs = nowNs;
  }

  /** Tells whether the time since the restart alone forbids a vote. */
  boolean justStarted(long nowNs) {
    return nowNs - lastLifeEndedNs < leaseNs;
  }

  /**
   * Tells whether a vote may be given.
   *
   * @param handOver whether the leader itself has given its lease up for this election
   */
  boolean allows(boolean handOver, long nowNs) {
    if (justStarted(nowNs)) {
      return false;
    }
    return handOver || !heard || nowNs - heardNs >= leaseNs;
  }
}
