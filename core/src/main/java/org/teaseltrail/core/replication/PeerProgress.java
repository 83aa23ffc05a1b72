package org.teaseltrail.core.replication;

import java.util.ArrayDeque;
import java.util.Deque;
import org.teaseltrail.core.id.MemberId;

/** Is what a leader knows of how far one other member has come. */
final class PeerProgress {

  /** Says what is sent to the member. */
  enum Mode {
    /** Only empty appends, until one has shown where the logs join. */
    PROBE,
    /** Entries, without waiting for each answer. */
    STREAM,
    /** Parts of a snapshot, one at a time. */
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

  /** Notes what is committed at the time of a heartbeat. */
  void asked(long commitIndex, long nowNs, long patienceNs) {
    catchUp = catchUp.asked(commitIndex, nowNs, patienceNs);
  }

  /** Tells whether the member held, synced, all that was committed a short time ago. */
  boolean isCaughtUp(long nowNs, long patienceNs) {
    return catchUp.isRecent(nowNs, patienceNs);
  }

  /** Returns up to where the log isn't needed to serve this member. */
  long servedIndex() {
    return mode == Mode.SNAPSHOT ? snapshot.index() : matchIndex;
  }

  int inflightMessages() {
    return inflightLastIndexes.size();
  }

  /** Notes that entries up to an index are on their way. */
  void sent(long lastIndex) {
    inflightLastIndexes.addLast(lastIndex);
    nextIndex = lastIndex + 1;
  }

  /** Takes an answer by which the logs join. */
  void matched(long syncedIndex) {
    matchIndex = Math.max(matchIndex, syncedIndex);
    catchUp = catchUp.holds(matchIndex);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    while (!inflightLastIndexes.isEmpty() && inflightLastIndexes.getFirst() <= matchIndex) {
      inflightLastIndexes.removeFirst();
    }
    boolean installed = mode == Mode.SNAPSHOT && matchIndex >= snapshot.index();
    if (installed || mode == Mode.PROBE) {
      startStream();
    }
  }

  /**
   * Takes an answer by which the logs don't join.
   *
   * @return whether it tells anything new
   */
  boolean rejected(long resumeIndex) {
    boolean old = resumeIndex >= nextIndex || mode == Mode.SNAPSHOT;
    if (old) {
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

  private void startStream() {
    mode = Mode.STREAM;
    snapshot = null;
  }
}
