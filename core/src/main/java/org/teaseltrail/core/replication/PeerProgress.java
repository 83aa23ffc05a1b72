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
    REPLICATE,
    /** Chunks of a snapshot, one at a time. */
    SNAPSHOT
  }

  /** An unacknowledged message with entries. */
  private record InflightMessage(long lastIndex, long bytes) {}

  private final Deque<InflightMessage> inflight = new ArrayDeque<>();
  private final MemberId id;
  private long inflightBytes;
  private Mode mode = Mode.PROBE;
  private long nextIndex;
  private long matchIndex;
  private long repliedRound;
  private Snapshot snapshot;
  private int snapshotOffsetBytes;
  private long snapshotChunkSentNs;
  private CatchUpState catchUp = CatchUpState.none();

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

  long repliedRound() {
    return repliedRound;
  }

  void onReply(long round) {
    repliedRound = Math.max(repliedRound, round);
  }

  /** Sets the commit index at the time of a heartbeat as the catch-up target. */
  void asked(long commitIndex, long nowNs, long maxAgeNs) {
    catchUp = catchUp.asked(commitIndex, nowNs, maxAgeNs);
  }

  /** Returns whether the member had recently synced all entries committed at the time. */
  boolean hasCaughtUpWithin(long nowNs, long maxAgeNs) {
    return catchUp.hasCaughtUpWithin(nowNs, maxAgeNs);
  }

  /** Returns the index after which the log must be retained for this member. */
  long retainAfterIndex() {
    return mode == Mode.SNAPSHOT ? snapshot.index() : matchIndex;
  }

  int inflightMessages() {
    return inflight.size();
  }

  /** Returns the size of the commands in unacknowledged messages, in bytes. */
  long inflightBytes() {
    return inflightBytes;
  }

  /** Records that entries up to an index, with commands of the given size, are in flight. */
  void onEntriesSent(long lastIndex, long bytes) {
    inflight.addLast(new InflightMessage(lastIndex, bytes));
    inflightBytes += bytes;
    nextIndex = lastIndex + 1;
  }

  /** Handles a reply that confirms a match of the logs. */
  void matched(long syncedIndex) {
    matchIndex = Math.max(matchIndex, syncedIndex);
    catchUp = catchUp.onSynced(matchIndex);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    while (!inflight.isEmpty() && inflight.getFirst().lastIndex() <= matchIndex) {
      inflightBytes -= inflight.removeFirst().bytes();
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
  boolean onRejected(long resumeIndex) {
    boolean stale = resumeIndex >= nextIndex || mode == Mode.SNAPSHOT;
    if (stale) {
      return false;
    }
    nextIndex = Math.max(matchIndex + 1, resumeIndex);
    mode = Mode.PROBE;
    clearInflight();
    return true;
  }

  void startSnapshot(Snapshot started, long nowNs) {
    mode = Mode.SNAPSHOT;
    snapshot = started;
    snapshotOffsetBytes = 0;
    snapshotChunkSentNs = nowNs;
    clearInflight();
  }

  Snapshot snapshot() {
    return snapshot;
  }

  int snapshotOffsetBytes() {
    return snapshotOffsetBytes;
  }

  boolean isSendingSnapshot(long snapshotIndex) {
    return mode == Mode.SNAPSHOT && snapshot.index() == snapshotIndex;
  }

  void onSnapshotReply(int nextOffsetBytes) {
    snapshotOffsetBytes = Math.min(nextOffsetBytes, snapshot.state().length);
  }

  void onSnapshotChunkSent(long nowNs) {
    snapshotChunkSentNs = nowNs;
  }

  long snapshotChunkSentNs() {
    return snapshotChunkSentNs;
  }

  private void clearInflight() {
    inflight.clear();
    inflightBytes = 0;
  }

  private void startReplicating() {
    mode = Mode.REPLICATE;
    snapshot = null;
  }
}
