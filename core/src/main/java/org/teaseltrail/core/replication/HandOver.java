package org.teaseltrail.core.replication;

import java.util.Comparator;
import java.util.Optional;
import org.teaseltrail.core.id.MemberId;

/**
 * Hands leadership over: waits until the successor holds the whole log, gives the lease up, and
 * tells the successor to stand.
 *
 * <p>Guards against two lease holders: the message to the successor may arrive late, so once it is
 * sent the lease never comes back in this term. If no successor is elected in time, the leader
 * steps down.
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

  boolean isUnderWay() {
    return successor.isPresent();
  }

  long deadlineNs() {
    return deadlineNs;
  }

  /** Chooses a successor, or returns empty if there is none. */
  Optional<MemberId> choose(Optional<MemberId> wanted, Iterable<PeerProgress> peers) {
    Membership members = context.members.latest();
    Optional<PeerProgress> best = Optional.empty();
    for (PeerProgress peer : peers) {
      boolean fits = members.isVoter(peer.id()) && wanted.map(peer.id()::equals).orElse(true);
      if (fits && best.map(other -> isAhead(peer, other)).orElse(true)) {
        best = Optional.of(peer);
      }
    }
    return best.map(PeerProgress::id);
  }

  private static boolean isAhead(PeerProgress one, PeerProgress other) {
    return Comparator.comparingLong(PeerProgress::matchIndex)
            .thenComparingLong(PeerProgress::answeredRound)
            .compare(one, other)
        > 0;
  }

  void start(MemberId chosen, long nowNs) {
    successor = Optional.of(chosen);
    deadlineNs = nowNs + context.settings.electionTimeoutMaxMs() * NANOS_PER_MS;
  }

  /** Tells the successor to stand if it holds the whole log; said again until it does stand. */
  void advance(PeerProgress peer) {
    boolean ready =
        successor.map(peer.id()::equals).orElse(false)
            && peer.matchIndex() == context.log.lastIndex();
    if (ready) {
      lease.giveUp();
      context.outbox.send(peer.id(), new PeerMessage.TimeoutNow(context.ballot.term()));
    }
  }

  /**
   * Ends an attempt that took too long.
   *
   * @return whether the leader must step down, its lease being given up
   */
  boolean expired(long nowNs) {
    if (successor.isEmpty() || nowNs < deadlineNs) {
      return false;
    }
    successor = Optional.empty();
    return lease.isGivenUp();
  }
}
