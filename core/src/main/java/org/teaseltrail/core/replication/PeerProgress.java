package org.teaseltrail.core.replication;

import java.util.ArrayDeque;
import java.util.Deque;
import org.teaseltrail.core.id.MemberId;

/** Leader's view of the replication progress of one other member. */
final class PeerProgress {

  /** What the leader sends to the member. */
  enum Mode {
    /** Only empty appends, until a reply shows where the two logs match. */
    PROBE,
    /** Pipelined entries, without waiting for each reply. */
    STREAM,
    /** Chunks of a snapshot, one at a time. */
    SNAPSHOT
  }

  private final MemberId id;
  private final Deque<Long> inflightLastIndexes = new ArrayDeque<>();
  private Mode mode = Mode.PROBE;
  private long nextIndex;
  private long matchIndex;
  private long answeredRound;
  private Snapshot snapshot;
  private int snapshotOffsetBytes;
  private long snapshotSentNs;
  private CatchUp catchUp = CatchUp.none();

  PeerProgress(MemberId id, long nextIndex) {
    this.id = id;
    this.nextIndex = nextIndex;
  }

  MemberId id() {
    return id;
  }

  Mode mode() {
    return mode;
  }

  long nextIndex() {
    return nextIndex;
  }

  long matchIndex() {
    return matchIndex;
  }

  long answeredRound() {
    return answeredRound;
  }

  void answered(long round) {
    answeredRound = Math.max(answeredRound, round);
  }

  /** Sets the commit index at the time of a heartbeat as the catch-up target. */
  void asked(long commitIndex, long nowNs, long patienceNs) {
    catchUp = catchUp.asked(commitIndex, nowNs, patienceNs);
  }

  /** Returns whether the member had recently synced all entries committed at the time. */
  boolean isCaughtUp(long nowNs, long patienceNs) {
    return catchUp.isRecent(nowNs, patienceNs);
  }

  /** Returns the index after which the log must be retained for this member. */
  long servedIndex() {
    return mode == Mode.SNAPSHOT ? snapshot.index() : matchIndex;
  }

  int inflightMessages() {
    return inflightLastIndexes.size();
  }

  /** Records that entries up to an index are in flight. */
  void sent(long lastIndex) {
    inflightLastIndexes.addLast(lastIndex);
    nextIndex = lastIndex + 1;
  }

  /** Handles a reply that confirms a match of the logs. */
  void matched(long syncedIndex) {
    matchIndex = Math.max(matchIndex, syncedIndex);
    catchUp = catchUp.holds(matchIndex);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    while (!inflightLastIndexes.isEmpty() && inflightLastIndexes.getFirst() <= matchIndex) {
      inflightLastIndexes.removeFirst();
    }
    boolean installed = mode == Mode.SNAPSHOT && matchIndex >= snapshot.index();
    if (installed || mode == Mode.PROBE) {
      startReplicating();
    }
  }

  /**
   * Handles a reply that rejects the previous entry.
   *
   * @return whether the rejection isn't stale
   */
  boolean rejected(long resumeIndex) {
    boolean stale = resumeIndex >= nextIndex || mode == Mode.SNAPSHOT;
    if (stale) {
      return false;
    }
    nextIndex = Math.max(matchIndex + 1, resumeIndex);
    mode = Mode.PROBE;
    inflightLastIndexes.clear();
    return true;
  }

  void startSnapshot(Snapshot started, long nowNs) {
    mode = Mode.SNAPSHOT;
    snapshot = started;
    snapshotOffsetBytes = 0;
    snapshotSentNs = nowNs;
    inflightLastIndexes.clear();
  }

  Snapshot snapshot() {
    return snapshot;
  }

  int snapshotOffsetBytes() {
    return snapshotOffsetBytes;
  }

  boolean isSending(long snapshotIndex) {
    return mode == Mode.SNAPSHOT && snapshot.index() == snapshotIndex;
  }

  void snapshotAnswered(int nextOffsetBytes) {
    snapshotOffsetBytes = Math.min(nextOffsetBytes, snapshot.state().length);
  }

  void snapshotSent(long nowNs) {
    snapshotSentNs = nowNs;
  }

  long snapshotSentNs() {
    return snapshotSentNs;
  }

  private void startReplicating() {
    mode = Mode.STREAM;
    snapshot = null;
  }
}
