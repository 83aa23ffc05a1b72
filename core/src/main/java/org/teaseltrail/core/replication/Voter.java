package org.teaseltrail.core.replication;

import java.util.Optional;
import org.teaseltrail.core.id.MemberId;

/** Answers others' requests for votes. */
final class Voter {

  private final ReplicaContext context;
  private final VoteGuard guard;
  private Optional<MemberId> unsyncedVote = Optional.empty();

  Voter(ReplicaContext context, VoteGuard guard) {
    this.context = context;
    this.guard = guard;
  }

  /** Answers a pre-vote request; nothing changes by it. */
  void preVote(MemberId from, PeerMessage.PreVoteRequest request, boolean leading, long nowNs) {
    boolean granted =
        !leading
            && request.term() > context.ballot.term()
            && guard.allows(false, nowNs)
            && isUpToDate(request.lastIndex(), request.lastTerm());
    context.outbox.send(
        from, new PeerMessage.PreVoteReply(context.ballot.term(), request.term(), granted));
  }

  /** Tells whether a vote request may be looked at, and its term be taken over. */
  boolean mayConsider(PeerMessage.VoteRequest request, boolean leading, long nowNs) {
    return guard.allows(request.handOver(), nowNs) && (!leading || request.handOver());
  }

  /**
   * Votes in this member's term.
   *
   * @return whether the sender has the vote
   */
  boolean vote(MemberId from, PeerMessage.VoteRequest request) {
    boolean granted =
        request.term() == context.ballot.term()
            && context.ballot.mayVoteFor(from)
            && isUpToDate(request.lastIndex(), request.lastTerm());
    if (!granted) {
      context.outbox.send(from, new PeerMessage.VoteReply(context.ballot.term(), false));
      return false;
    }
    context.ballot.voteFor(from);
    unsyncedVote = Optional.of(from);
    tellSyncedVote();
    return true;
  }

  /** Tells a candidate of this member's vote, if the vote is synced by now. */
  void tellSyncedVote() {
    if (unsyncedVote.isEmpty() || !context.ballot.isSynced()) {
      return;
    }
    context.outbox.send(unsyncedVote.get(), new PeerMessage.VoteReply(context.ballot.term(), true));
    unsyncedVote = Optional.empty();
  }

  /** Forgets a vote of the term before. */
  void termChanged() {
    unsyncedVote = Optional.empty();
  }

  /**
   * Tells whether a candidate's log holds all that this member's log may have committed.
   *
   * <p>A member with an empty log has nothing to compare with, so it never votes: its disk may be
   * the replacement of one that held committed entries.
   */
  private boolean isUpToDate(long lastIndex, long lastTerm) {
    ReplicatedLog log = context.log;
    if (log.lastIndex() == 0) {
      return false;
    }
    return lastTerm > log.lastTerm() || lastTerm == log.lastTerm() && lastIndex >= log.lastIndex();
  }
}
