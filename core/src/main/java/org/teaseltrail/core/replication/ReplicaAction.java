package org.teaseltrail.core.replication;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.MemberId;

/**
 * Is something that a replica wants done. Actions are carried out in their order. Writes need not
 * be synced before the next action; once they are, the replica is told by {@link
 * ReplicaEvent.Persisted}.
 */
public sealed interface ReplicaAction {

  /** Changes the data folder. */
  sealed interface Write extends ReplicaAction {

    /**
     * Returns the write's place among all writes of this process.
     *
     * @return the number, from 1 without gaps
     */
    long writeNumber();
  }

  /**
   * Append entries to the log.
   *
   * @param writeNumber the write's number
   * @param entries entries that follow the last one
   */
  record AppendToLog(long writeNumber, List<LogEntry> entries) implements Write {}

  /**
   * Remove entries that no quorum holds from the log's end.
   *
   * @param writeNumber the write's number
   * @param fromIndex index of the first entry to go
   */
  record TruncateLog(long writeNumber, long fromIndex) implements Write {}

  /**
   * Replace the vote file.
   *
   * @param writeNumber the write's number
   * @param vote the new content
   */
  record SaveVote(long writeNumber, Vote vote) implements Write {}

  /**
   * Save a snapshot. Only once it is synced may the log's entries that it covers go.
   *
   * @param writeNumber the write's number
   * @param snapshot the snapshot
   * @param keepAfterIndex entries after this index are kept for members that are little behind
   * @param discardsLog whether the whole log goes, as it doesn't hold the snapshot's last entry
   */
  record SaveSnapshot(long writeNumber, Snapshot snapshot, long keepAfterIndex, boolean discardsLog)
      implements Write {}

  /**
   * Send a message to a member; it may get lost.
   *
   * @param envelope the message with its receiver
   */
  record SendPeer(PeerEnvelope envelope) implements ReplicaAction {}

  /**
   * Apply committed entries to the replicated state.
   *
   * @param entries entries that follow the last one applied, no-operations among them
   */
  record Apply(List<LogEntry> entries) implements ReplicaAction {}

  /**
   * Replace the replicated state by a snapshot's. Comes first after a restart, if there is one.
   *
   * @param snapshot the snapshot
   */
  record RestoreSnapshot(Snapshot snapshot) implements ReplicaAction {}

  /**
   * Write the replicated state out and answer with {@link ReplicaEvent.SnapshotTaken}.
   *
   * @param index index of the last entry applied
   */
  record TakeSnapshot(long index) implements ReplicaAction {}

  /**
   * This member leads, and all that was committed before is applied. The term is the fencing number
   * of the leadership.
   *
   * @param term its term
   */
  record BecameLeader(long term) implements ReplicaAction {}

  /**
   * This member doesn't lead any longer. The outcome of proposals that weren't applied is open.
   *
   * @param term the term it led in
   */
  record LostLeadership(long term) implements ReplicaAction {}

  /**
   * The leader known to this member has changed.
   *
   * @param term this member's term
   * @param leader the leader, if one is known
   */
  record LeaderChanged(long term, Optional<MemberId> leader) implements ReplicaAction {}

  /**
   * The member set of this member's log has changed.
   *
   * @param membership the member set that counts from now on
   */
  record MembershipChanged(Membership membership) implements ReplicaAction {}

  /**
   * A proposal is in the leader's log. It is committed when an entry with this index and this term
   * is applied, and lost for good when another entry with this index is.
   *
   * @param proposalId the asker's number
   * @param index index of its entry
   * @param term term of its entry
   */
  record ProposalAppended(long proposalId, long index, long term) implements ReplicaAction {}

  /**
   * A proposal was refused and will never be applied.
   *
   * @param proposalId the asker's number
   * @param reason why
   */
  record ProposalRejected(long proposalId, ProposalRejection reason) implements ReplicaAction {}

  /**
   * All that was committed when the barrier was asked for is applied.
   *
   * @param barrierId the asker's number
   */
  record ReadReady(long barrierId) implements ReplicaAction {}

  /**
   * A read barrier can't be confirmed here.
   *
   * @param barrierId the asker's number
   * @param reason why
   */
  record ReadRejected(long barrierId, ProposalRejection reason) implements ReplicaAction {}
}
