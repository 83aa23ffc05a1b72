package org.teaseltrail.core.replication;

import java.util.Optional;
import org.teaseltrail.core.id.MemberId;

/** Handles vote requests and pre-vote requests of other members. */
final class Voter {

  private final ReplicaContext context;
  private final VoteGuard votePolicy;
  private Optional<MemberId> pendingVote = Optional.empty();

  Voter(ReplicaContext context, VoteGuard votePolicy) {
    this.context = context;
    this.votePolicy = votePolicy;
  }

  /** Replies to a pre-vote request without changing any state. */
  void preVote(MemberId from, PeerMessage.PreVoteRequest request, boolean leading, long nowNs) {
    boolean granted =
        !leading
            && request.term() > context.ballot.term()
            && votePolicy.allows(false, nowNs)
            && isUpToDate(request.lastIndex(), request.lastTerm());
    context.outbox.send(
        from, new PeerMessage.PreVoteReply(context.ballot.term(), request.term(), granted));
  }

  /** Returns whether a vote request may be processed and its term adopted. */
  boolean mayConsider(PeerMessage.VoteRequest request, boolean leading, long nowNs) {
    return votePolicy.allows(request.handOver(), nowNs) && (!leading || request.handOver());
  }

  /**
   * Processes a vote request in this member's current term.
   *
   * @return whether the sender receives the vote
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
    pendingVote = Optional.of(from);
    tellSyncedVote();
    return true;
  }

  /** Sends the pending vote to its candidate if the vote is synced. */
  void tellSyncedVote() {
    if (pendingVote.isEmpty() || !context.ballot.isSynced()) {
      return;
    }
    context.outbox.send(pendingVote.get(), new PeerMessage.VoteReply(context.ballot.term(), true));
    pendingVote = Optional.empty();
  }

  /** Discards the pending vote of the previous term. */
  void termChanged() {
    pendingVote = Optional.empty();
  }

  /**
   * Returns whether a candidate's log has all entries of this member's log that may be committed.
   *
   * <p>A member with an empty log never votes, because it can't compare: its disk may replace one
   * that held committed entries.
   */
  private boolean isUpToDate(long lastIndex, long lastTerm) {
    ReplicatedLog log = context.log;
    if (log.lastIndex() == 0) {
      return false;
    }
    return lastTerm > log.lastTerm() || lastTerm == log.lastTerm() && lastIndex >= log.lastIndex();
  }
}
