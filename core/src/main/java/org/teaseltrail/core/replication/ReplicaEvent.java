package org.teaseltrail.core.replication;

import java.util.Optional;
import org.teaseltrail.core.id.MemberId;

/** Is something that has happened and that a replica must know. */
public sealed interface ReplicaEvent {

  /**
   * A member has sent a message.
   *
   * @param envelope the message with its sender and receiver
   */
  record PeerReceived(PeerEnvelope envelope) implements ReplicaEvent {}

  /**
   * Someone asks for a command to be committed.
   *
   * @param proposalId the asker's number, given back in the reply
   * @param command the encoded command
   */
  record Propose(long proposalId, byte[] command) implements ReplicaEvent {}

  /**
   * Someone asks for a member change.
   *
   * @param proposalId the asker's number, given back in the reply
   * @param change the step
   */
  record ProposeMembership(long proposalId, MembershipChange change) implements ReplicaEvent {}

  /**
   * All writes up to a number are synced, in their order.
   *
   * @param writeNumber number of the newest synced write
   */
  record Persisted(long writeNumber) implements ReplicaEvent {}

  /**
   * The replicated state was written out, as asked for by {@link ReplicaAction.TakeSnapshot}.
   *
   * @param index index of the last entry applied to it
   * @param state the encoded state
   */
  record SnapshotTaken(long index, byte[] state) implements ReplicaEvent {}

  /**
   * Someone asks the leader to hand over, as before a graceful shutdown.
   *
   * @param proposalId the asker's number, given back in a rejection
   * @param successor the voter to lead next, or empty for the one that is least behind
   */
  record TransferLeadership(long proposalId, Optional<MemberId> successor)
      implements ReplicaEvent {}

  /**
   * Someone asks to read all that is committed.
   *
   * @param barrierId the asker's number, given back in the reply
   */
  record ReadBarrier(long barrierId) implements ReplicaEvent {}

  /** Time has passed. */
  record Tick() implements ReplicaEvent {}
}
