package org.teaseltrail.core.replication;

import java.util.Optional;
import org.teaseltrail.core.id.MemberId;

/** Handles vote requests and pre-vote requests of other members. */
final class VoteRequestHandler {

  private final ReplicaContext context;
  private final LeaseVotePolicy votePolicy;
  private Optional<MemberId> pendingVote = Optional.empty();

  VoteRequestHandler(ReplicaContext context, LeaseVotePolicy votePolicy) {
    this.context = context;
    this.votePolicy = votePolicy;
  }

  /** Replies to a pre-vote request without changing any state. */
  void onPreVoteRequest(
      MemberId from, PeerMessage.PreVoteRequest request, boolean isLeader, long nowNs) {
    boolean granted =
        !isLeader
            && request.term() > context.voteStore.term()
            && votePolicy.canVote(false, nowNs)
            && isUpToDate(request.lastIndex(), request.lastTerm());
    context.outbox.send(
        from, new PeerMessage.PreVoteReply(context.voteStore.term(), request.term(), granted));
  }

  /** Returns whether a vote request may be processed and its term adopted. */
  boolean canConsider(PeerMessage.VoteRequest request, boolean isLeader, long nowNs) {
    return votePolicy.canVote(request.handOver(), nowNs) && (!isLeader || request.handOver());
  }

  /**
   * Processes a vote request in this member's current term.
   *
   * @return whether the sender receives the vote
   */
  boolean vote(MemberId from, PeerMessage.VoteRequest request) {
    boolean granted =
        request.term() == context.voteStore.term()
            && context.voteStore.canVoteFor(from)
            && isUpToDate(request.lastIndex(), request.lastTerm());
    if (!granted) {
      context.outbox.send(from, new PeerMessage.VoteReply(context.voteStore.term(), false));
      return false;
    }
    context.voteStore.voteFor(from);
    pendingVote = Optional.of(from);
    sendVoteReplyIfSynced();
    return true;
  }

  /** Sends the pending vote to its candidate if the vote is synced. */
  void sendVoteReplyIfSynced() {
    if (pendingVote.isEmpty() || !context.voteStore.isSynced()) {
      return;
    }
    context.outbox.send(
        pendingVote.get(), new PeerMessage.VoteReply(context.voteStore.term(), true));
    pendingVote = Optional.empty();
  }

  /** Discards the pending vote of the previous term. */
  void onTermChanged() {
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
