package org.teaseltrail.core.replication;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

/**
 * Sends the leader's heartbeats, entries and snapshots to the other members. Entries are pipelined
 * up to a window of unacknowledged messages. While the window of a slow member is full, new entries
 * accumulate and are then sent in one batch.
 */
final class LogReplicator {

  private static final int CHUNK_RESEND_HEARTBEATS = 4;

  private final ReplicaContext context;
  private final LeaderLease lease;

  LogReplicator(ReplicaContext context, LeaderLease lease) {
    this.context = context;
    this.lease = lease;
  }

  /** Sends a heartbeat and resends a snapshot chunk that may have been lost. */
  void sendHeartbeat(PeerProgress peer, long nowNs) {
    if (peer.mode() == PeerProgress.Mode.SNAPSHOT) {
      sendAppend(peer, 0, 0, List.of());
      resendChunkIfDue(peer, nowNs);
      return;
    }
    OptionalLong previousTerm = context.log.termAt(peer.nextIndex() - 1);
    if (previousTerm.isEmpty()) {
      startSnapshot(peer, nowNs);
      return;
    }
    sendAppend(peer, peer.nextIndex() - 1, previousTerm.getAsLong(), List.of());
  }

  /** Sends entries up to the window limit. */
  void sendEntries(PeerProgress peer, long nowNs) {
    while (canSendEntries(peer)) {
      OptionalLong previousTerm = context.log.termAt(peer.nextIndex() - 1);
      if (previousTerm.isEmpty()) {
        startSnapshot(peer, nowNs);
        return;
      }
      List<LogEntry> batch =
          context.log.batch(
              peer.nextIndex(),
              context.settings.maxBatchEntries(),
              context.settings.maxBatchBytes());
      sendAppend(peer, peer.nextIndex() - 1, previousTerm.getAsLong(), batch);
      peer.onEntriesSent(batch.get(batch.size() - 1).index(), LogEntry.sizeBytes(batch));
    }
  }

  /** Continues a snapshot at the offset that the member expects next. */
  void onSnapshotReply(PeerProgress peer, PeerMessage.InstallSnapshotReply reply, long nowNs) {
    if (!peer.isSendingSnapshot(reply.snapshotIndex())) {
      return;
    }
    int before = peer.snapshotOffsetBytes();
    peer.onSnapshotReply(reply.nextOffsetBytes());
    boolean complete = peer.snapshotOffsetBytes() == peer.snapshot().state().length;
    if (peer.snapshotOffsetBytes() != before && !complete) {
      sendChunk(peer, nowNs);
    }
  }

  private boolean canSendEntries(PeerProgress peer) {
    return peer.mode() == PeerProgress.Mode.REPLICATE
        && peer.nextIndex() <= context.log.lastIndex()
        && peer.inflightMessages() < context.settings.maxInflightMessages()
        && peer.inflightBytes() < context.settings.maxInflightBytes();
  }

  private void sendAppend(
      PeerProgress peer, long previousIndex, long previousTerm, List<LogEntry> entries) {
    context.outbox.send(
        peer.id(),
        new PeerMessage.Append(
            context.voteStore.term(),
            previousIndex,
            previousTerm,
            entries,
            context.commitTracker.commitIndex(),
            lease.newestRound()));
  }

  private void startSnapshot(PeerProgress peer, long nowNs) {
    peer.startSnapshot(context.log.snapshot().orElseThrow(), nowNs);
    sendChunk(peer, nowNs);
  }

  private void resendChunkIfDue(PeerProgress peer, long nowNs) {
    long waitNs = CHUNK_RESEND_HEARTBEATS * context.settings.heartbeatNs();
    if (nowNs - peer.snapshotChunkSentNs() >= waitNs) {
      sendChunk(peer, nowNs);
    }
  }

  private void sendChunk(PeerProgress peer, long nowNs) {
    Snapshot snapshot = peer.snapshot();
    byte[] state = snapshot.state();
    int from = peer.snapshotOffsetBytes();
    int to = Math.min(state.length, from + context.settings.snapshots().chunkBytes());
    context.outbox.send(
        peer.id(),
        new PeerMessage.InstallSnapshot(
            context.voteStore.term(),
            lease.newestRound(),
            snapshot.index(),
            snapshot.term(),
            snapshot.membership(),
            from,
            state.length,
            Arrays.copyOfRange(state, from, to)));
    peer.onSnapshotChunkSent(nowNs);
  }
}
