package org.teaseltrail.core.replication;

import java.util.Comparator;
import java.util.Optional;
import org.teaseltrail.core.id.MemberId;

/**
 * Leadership transfer: waits until the successor holds the complete log, releases the leader's
 * lease and requests the successor to start an election.
 *
 * <p>The request to the successor may be delivered late. Once it is sent, the lease therefore is
 * never valid again in this term, which prevents two leaders with a valid lease. If no successor is
 * elected in time, the leader steps down.
 */
final class HandOver {

  private static final long NANOS_PER_MS = 1_000_000L;

  private final ReplicaContext context;
  private final LeaderLease lease;
  private Optional<MemberId> successor = Optional.empty();
  private long deadlineNs;

  HandOver(ReplicaContext context, LeaderLease lease) {
    this.context = context;
    this.lease = lease;
  }

  boolean isInProgress() {
    return successor.isPresent();
  }

  long deadlineNs() {
    return deadlineNs;
  }

  /** Selects the most up-to-date eligible voter, or returns empty if there is none. */
  Optional<MemberId> selectSuccessor(Optional<MemberId> wanted, Iterable<PeerProgress> peers) {
    Membership members = context.members.latest();
    Optional<PeerProgress> best = Optional.empty();
    for (PeerProgress peer : peers) {
      boolean isEligible = members.isVoter(peer.id()) && wanted.map(peer.id()::equals).orElse(true);
      if (isEligible && best.map(other -> isMoreUpToDate(peer, other)).orElse(true)) {
        best = Optional.of(peer);
      }
    }
    return best.map(PeerProgress::id);
  }

  private static boolean isMoreUpToDate(PeerProgress one, PeerProgress other) {
    return Comparator.comparingLong(PeerProgress::matchIndex)
            .thenComparingLong(PeerProgress::repliedRound)
            .compare(one, other)
        > 0;
  }

  void start(MemberId chosen, long nowNs) {
    successor = Optional.of(chosen);
    deadlineNs = nowNs + context.settings.electionTimeoutMaxMs() * NANOS_PER_MS;
  }

  /**
   * Sends TimeoutNow to the successor if it holds the complete log; repeated until the successor
   * starts its election.
   */
  void sendTimeoutNowIfReady(PeerProgress peer) {
    boolean ready =
        successor.map(peer.id()::equals).orElse(false)
            && peer.matchIndex() == context.log.lastIndex();
    if (ready) {
      lease.release();
      context.outbox.send(peer.id(), new PeerMessage.TimeoutNow(context.voteStore.term()));
    }
  }

  /**
   * Cancels a transfer that has timed out.
   *
   * @return whether the leader must step down because its lease is released
   */
  boolean expireIfDue(long nowNs) {
    if (successor.isEmpty() || nowNs < deadlineNs) {
      return false;
    }
    successor = Optional.empty();
    return lease.isReleased();
  }
}
