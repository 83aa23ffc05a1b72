package org.teaseltrail.core.replication;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.MemberId;

/**
 * Action that the caller of a replica must execute. Actions are executed in order. Writes need not
 * be synced before the next action is executed; once they are, the caller sends {@link
 * ReplicaEvent.Persisted}.
 */
public sealed interface ReplicaAction {

  /** Change of the data folder. */
  sealed interface Write extends ReplicaAction {

    /**
     * Returns the sequence number of the write among all writes of this process.
     *
     * @return the number, from 1 without gaps
     */
    long writeNumber();
  }

  /**
   * Appends entries to the log.
   *
   * @param writeNumber the write's number
   * @param entries entries that follow the last one
   */
  record AppendToLog(long writeNumber, List<LogEntry> entries) implements Write {}

  /**
   * Removes entries that no quorum holds from the end of the log.
   *
   * @param writeNumber the write's number
   * @param fromIndex index of the first entry to remove
   */
  record TruncateLog(long writeNumber, long fromIndex) implements Write {}

  /**
   * Replaces the vote file.
   *
   * @param writeNumber the write's number
   * @param vote the new content
   */
  record SaveVote(long writeNumber, Vote vote) implements Write {}

  /**
   * Saves a snapshot. The log entries that it covers may be deleted only after the snapshot is
   * synced.
   *
   * @param writeNumber the write's number
   * @param snapshot the snapshot
   * @param retainAfterIndex entries after this index are retained for members that lag slightly
   * @param discardsLog whether the complete log is deleted, because it doesn't have the snapshot's
   *     last entry
   */
  record SaveSnapshot(
      long writeNumber, Snapshot snapshot, long retainAfterIndex, boolean discardsLog)
      implements Write {}

  /**
   * Sends a message to a member; delivery isn't guaranteed.
   *
   * @param envelope the message with its addresses
   */
  record SendPeerMessage(PeerEnvelope envelope) implements ReplicaAction {}

  /**
   * Applies committed entries to the replicated state.
   *
   * @param entries entries that follow the last one applied, including no-operations
   */
  record Apply(List<LogEntry> entries) implements ReplicaAction {}

  /**
   * Replaces the replicated state by the one of a snapshot. After a restart with a snapshot, this
   * is the first action.
   *
   * @param snapshot the snapshot
   */
  record RestoreSnapshot(Snapshot snapshot) implements ReplicaAction {}

  /**
   * Takes a snapshot of the replicated state and reports it with {@link
   * ReplicaEvent.SnapshotTaken}.
   *
   * @param index index of the last entry applied
   */
  record TakeSnapshot(long index) implements ReplicaAction {}

  /**
   * Reports that this member has become leader and has applied everything committed before. The
   * term is the fencing number of the leadership.
   *
   * @param term the term of the leadership
   */
  record BecameLeader(long term) implements ReplicaAction {}

  /**
   * Reports that this member is no longer leader. The outcome of proposals that weren't applied is
   * indeterminate.
   *
   * @param term the term in which it was leader
   */
  record LostLeadership(long term) implements ReplicaAction {}

  /**
   * Reports that the leader known to this member has changed.
   *
   * @param term this member's term
   * @param leader the leader, if one is known
   */
  record LeaderChanged(long term, Optional<MemberId> leader) implements ReplicaAction {}

  /**
   * Reports that the member set in this member's log has changed.
   *
   * @param membership the member set in effect from now on
   */
  record MembershipChanged(Membership membership) implements ReplicaAction {}

  /**
   * Reports that a proposal is in the leader's log. It is committed when an entry with this index
   * and term is applied, and lost when another entry with this index is applied.
   *
   * @param proposalId the id given by the proposer
   * @param index index of its entry
   * @param term term of its entry
   */
  record ProposalAppended(long proposalId, long index, long term) implements ReplicaAction {}

  /**
   * Reports that a proposal was rejected and will never be applied.
   *
   * @param proposalId the id given by the proposer
   * @param reason why
   */
  record ProposalRejected(long proposalId, ProposalRejection reason) implements ReplicaAction {}

  /**
   * Reports that everything committed before the barrier was requested is applied.
   *
   * @param barrierId the id given by the requester
   */
  record ReadReady(long barrierId) implements ReplicaAction {}

  /**
   * Reports that a read barrier can't be confirmed on this member.
   *
   * @param barrierId the id given by the requester
   * @param reason why
   */
  record ReadRejected(long barrierId, ProposalRejection reason) implements ReplicaAction {}
}
