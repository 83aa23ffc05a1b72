package org.teaseltrail.core.replication;

import java.util.List;

/** Is a message between control members. */
public sealed interface PeerMessage {

  /**
   * Returns the sender's term (of a pre-vote request: the term it would stand in).
   *
   * @return the term
   */
  long term();

  /**
   * Asks whether an election would have a chance; changes nothing at the receiver.
   *
   * @param term the term the sender would stand in
   * @param lastIndex index of the sender's last entry
   * @param lastTerm term of that entry
   */
  record PreVoteRequest(long term, long lastIndex, long lastTerm) implements PeerMessage {}

  /**
   * Answers a pre-vote request.
   *
   * @param term the receiver's own term
   * @param candidateTerm the term asked for
   * @param granted whether it would vote for the sender
   */
  record PreVoteReply(long term, long candidateTerm, boolean granted) implements PeerMessage {}

  /**
   * Asks for a vote.
   *
   * @param term the term the sender stands in
   * @param lastIndex index of the sender's last entry
   * @param lastTerm term of that entry
   * @param handOver whether the leader of the term before has given its lease up for this election
   */
  record VoteRequest(long term, long lastIndex, long lastTerm, boolean handOver)
      implements PeerMessage {}

  /**
   * Answers a vote request; a granted vote is synced.
   *
   * @param term the receiver's term
   * @param granted whether the sender has its vote in this term
   */
  record VoteReply(long term, boolean granted) implements PeerMessage {}

  /**
   * Sends entries; without entries, a heartbeat.
   *
   * @param term the leader's term
   * @param previousIndex index of the entry before the first one sent
   * @param previousTerm term of that entry
   * @param entries entries that follow
   * @param commitIndex the leader's commit index
   * @param round the leader's count of lease rounds, echoed in the reply
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
   * Answers an append.
   *
   * @param term the follower's term
   * @param round the newest round heard from this leader
   * @param matched whether the previous entry was there
   * @param matchIndex up to here the follower's log is the leader's, synced
   * @param nextIndex if not matched, the index to go on from
   */
  record AppendReply(long term, long round, boolean matched, long matchIndex, long nextIndex)
      implements PeerMessage {}

  /**
   * Sends a part of a snapshot to a member that is behind the start of the leader's log.
   *
   * @param term the leader's term
   * @param round the leader's count of lease rounds, echoed in the reply
   * @param snapshotIndex index of the last entry covered
   * @param snapshotTerm term of that entry
   * @param membership member set at that entry
   * @param offsetBytes where the part begins in the state
   * @param totalBytes size of the whole state
   * @param part the part's bytes
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
   * Answers a part of a snapshot. That the whole is synced is told by an {@link AppendReply}.
   *
   * @param term the follower's term
   * @param round the newest round heard from this leader
   * @param snapshotIndex which snapshot
   * @param nextOffsetBytes which byte it expects next
   */
  record InstallSnapshotReply(long term, long round, long snapshotIndex, int nextOffsetBytes)
      implements PeerMessage {}

  /**
   * Tells a voter that holds the whole log to stand for election at once.
   *
   * @param term the leader's term, whose lease it has given up
   */
  record TimeoutNow(long term) implements PeerMessage {}
}
