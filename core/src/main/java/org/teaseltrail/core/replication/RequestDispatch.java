package org.teaseltrail.core.replication;

import java.util.Optional;

/** Passes what is asked of a leader on to the leadership, and refuses it where there is none. */
final class RequestDispatch {

  private final Outbox outbox;

  RequestDispatch(Outbox outbox) {
    this.outbox = outbox;
  }

  /** Handles a request; a tick asks for nothing. */
  void handle(ReplicaEvent event, Optional<LeaderRole> leadership, long nowNs) {
    if (event instanceof ReplicaEvent.Propose propose) {
      leadership.ifPresentOrElse(
          leading -> leading.propose(propose.proposalId(), propose.command(), nowNs),
          () -> rejectProposal(propose.proposalId()));
    } else if (event instanceof ReplicaEvent.ProposeMembership propose) {
      leadership.ifPresentOrElse(
          leading -> leading.proposeMembership(propose.proposalId(), propose.change(), nowNs),
          () -> rejectProposal(propose.proposalId()));
    } else if (event instanceof ReplicaEvent.TransferLeadership transfer) {
      leadership.ifPresentOrElse(
          leading -> leading.transfer(transfer, nowNs),
          () -> rejectProposal(transfer.proposalId()));
    } else if (event instanceof ReplicaEvent.ReadBarrier barrier) {
      leadership.ifPresentOrElse(
          leading -> leading.readBarrier(barrier.barrierId(), nowNs),
          () -> rejectRead(barrier.barrierId()));
    }
  }

  private void rejectProposal(long proposalId) {
    outbox.add(new ReplicaAction.ProposalRejected(proposalId, ProposalRejection.NOT_LEADER));
  }

  private void rejectRead(long barrierId) {
    outbox.add(new ReplicaAction.ReadRejected(barrierId, ProposalRejection.NOT_LEADER));
  }
}
