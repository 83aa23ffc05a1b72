package org.teaseltrail.core.replication;

import java.util.Optional;
import org.teaseltrail.core.id.MemberId;

/** Input event of a replica. */
public sealed interface ReplicaEvent {

  /**
   * A message from another member was received.
   *
   * @param envelope the message with its addresses
   */
  record PeerMessageReceived(PeerEnvelope envelope) implements ReplicaEvent {}

  /**
   * A command is proposed.
   *
   * @param proposalId the proposer's id, echoed in the reply
   * @param command the encoded command
   */
  record Propose(long proposalId, byte[] command) implements ReplicaEvent {}

  /**
   * A membership change is proposed.
   *
   * @param proposalId the proposer's id, echoed in the reply
   * @param change the change
   */
  record ProposeMembership(long proposalId, MembershipChange change) implements ReplicaEvent {}

  /**
   * All writes up to a number are synced.
   *
   * @param writeNumber number of the latest synced write
   */
  record Persisted(long writeNumber) implements ReplicaEvent {}

  /**
   * A snapshot of the replicated state was taken, as requested by {@link
   * ReplicaAction.TakeSnapshot}.
   *
   * @param index index of the last entry applied to it
   * @param state the encoded state
   */
  record SnapshotTaken(long index, byte[] state) implements ReplicaEvent {}

  /**
   * A leadership transfer is requested, for example before a graceful shutdown.
   *
   * @param proposalId the requester's id, echoed in a rejection
   * @param successor the voter to become leader, or empty for the most up-to-date one
   */
  record TransferLeadership(long proposalId, Optional<MemberId> successor)
      implements ReplicaEvent {}

  /**
   * A read of all committed state is requested.
   *
   * @param barrierId the requester's id, echoed in the reply
   */
  record ReadBarrier(long barrierId) implements ReplicaEvent {}

  /** A timer may have expired. */
  record Tick() implements ReplicaEvent {}
}
