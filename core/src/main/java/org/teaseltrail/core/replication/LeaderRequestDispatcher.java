package org.teaseltrail.core.replication;

import java.util.Optional;

/** Dispatches requests to the leader role, or rejects them if this member isn't the leader. */
final class LeaderRequestDispatcher {

  private final Outbox outbox;

  LeaderRequestDispatcher(Outbox outbox) {
    this.outbox = outbox;
  }

  /** Handles a request; a tick is ignored. */
  void handle(ReplicaEvent event, Optional<LeaderRole> leadership, long nowNs) {
    if (event instanceof ReplicaEvent.Propose propose) {
      leadership.ifPresentOrElse(
          role -> role.propose(propose.proposalId(), propose.command(), nowNs),
          () -> rejectProposal(propose.proposalId()));
    } else if (event instanceof ReplicaEvent.ProposeMembership propose) {
      leadership.ifPresentOrElse(
          role -> role.proposeMembership(propose.proposalId(), propose.change(), nowNs),
          () -> rejectProposal(propose.proposalId()));
    } else if (event instanceof ReplicaEvent.TransferLeadership transfer) {
      leadership.ifPresentOrElse(
          role -> role.transfer(transfer, nowNs), () -> rejectProposal(transfer.proposalId()));
    } else if (event instanceof ReplicaEvent.ReadBarrier barrier) {
      leadership.ifPresentOrElse(
          role -> role.onReadBarrier(barrier.barrierId(), nowNs),
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
