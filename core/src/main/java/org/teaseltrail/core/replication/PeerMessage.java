package org.teaseltrail.core.replication;

import java.util.List;

/** Message between control members. */
public sealed interface PeerMessage {

  /**
   * Returns the sender's term; for a pre-vote request, the term in which it would start an
   * election.
   *
   * @return the term
   */
  long term();

  /**
   * Pre-vote request: asks whether the receiver would vote for the sender, without changing the
   * receiver's state.
   *
   * @param term the term in which the sender would start an election
   * @param lastIndex index of the sender's last entry
   * @param lastTerm term of that entry
   */
  record PreVoteRequest(long term, long lastIndex, long lastTerm) implements PeerMessage {}

  /**
   * Reply to a pre-vote request.
   *
   * @param term the receiver's own term
   * @param candidateTerm the term of the request
   * @param granted whether it would vote for the sender
   */
  record PreVoteReply(long term, long candidateTerm, boolean granted) implements PeerMessage {}

  /**
   * Vote request of a candidate.
   *
   * @param term the term of the election
   * @param lastIndex index of the sender's last entry
   * @param lastTerm term of that entry
   * @param handOver whether the previous leader has released its lease for this election
   *     (leadership transfer)
   */
  record VoteRequest(long term, long lastIndex, long lastTerm, boolean handOver)
      implements PeerMessage {}

  /**
   * Reply to a vote request; a granted vote is synced before it is sent.
   *
   * @param term the receiver's term
   * @param granted whether the receiver votes for the sender in this term
   */
  record VoteReply(long term, boolean granted) implements PeerMessage {}

  /**
   * Log entries from the leader; a heartbeat if there are no entries.
   *
   * @param term the leader's term
   * @param previousIndex index of the entry that precedes the first one sent
   * @param previousTerm term of that entry
   * @param entries entries that follow the previous entry
   * @param commitIndex the leader's commit index
   * @param round number of the leader's heartbeat round, echoed in the reply
   */
  record Append(
      long term,
      long previousIndex,
      long previousTerm,
      List<LogEntry> entries,
      long commitIndex,
      long round)
      implements PeerMessage {

    /** Copies the entries. */
    public Append {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Reply to an append.
   *
   * @param term the follower's term
   * @param round the latest heartbeat round received from this leader
   * @param matched whether the follower's log has the previous entry
   * @param matchIndex index up to which the follower's log matches the leader's and is synced
   * @param nextIndex if not matched, the index from which the leader should resume
   */
  record AppendReply(long term, long round, boolean matched, long matchIndex, long nextIndex)
      implements PeerMessage {}

  /**
   * Chunk of a snapshot for a member that needs entries which the leader has already compacted.
   *
   * @param term the leader's term
   * @param round number of the leader's heartbeat round, echoed in the reply
   * @param snapshotIndex index of the last entry covered
   * @param snapshotTerm term of that entry
   * @param membership member set at that entry
   * @param offsetBytes offset of the chunk in the state
   * @param totalBytes size of the complete state
   * @param part the bytes of the chunk
   */
  record InstallSnapshot(
      long term,
      long round,
      long snapshotIndex,
      long snapshotTerm,
      Membership membership,
      int offsetBytes,
      int totalBytes,
      byte[] part)
      implements PeerMessage {}

  /**
   * Reply to a snapshot chunk. The sync of the complete snapshot is acknowledged by an {@link
   * AppendReply}.
   *
   * @param term the follower's term
   * @param round the latest heartbeat round received from this leader
   * @param snapshotIndex index of the snapshot
   * @param nextOffsetBytes offset of the next byte expected
   */
  record InstallSnapshotReply(long term, long round, long snapshotIndex, int nextOffsetBytes)
      implements PeerMessage {}

  /**
   * Request to a voter that holds the complete log to start an election immediately.
   *
   * @param term the leader's term; the leader has released its lease
   */
  record TimeoutNow(long term) implements PeerMessage {}
}
