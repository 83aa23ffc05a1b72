package org.teaseltrail.core.replication;

/** Assembles a leader's snapshot from its chunks. */
final class SnapshotAssembler {

  private final long index;
  private final long term;
  private final Membership membership;
  private final byte[] state;
  private int receivedBytes;

  SnapshotAssembler(PeerMessage.InstallSnapshot first) {
    this.index = first.snapshotIndex();
    this.term = first.snapshotTerm();
    this.membership = first.membership();
    this.state = new byte[first.totalBytes()];
  }

  boolean matches(PeerMessage.InstallSnapshot message) {
    return index == message.snapshotIndex()
        && term == message.snapshotTerm()
        && state.length == message.totalBytes();
  }

  /**
   * Adds a chunk if it is the next one. A duplicate or out-of-order chunk is ignored; the leader
   * sends the missing chunk again.
   */
  void add(PeerMessage.InstallSnapshot message) {
    if (message.offsetBytes() != receivedBytes) {
      return;
    }
    System.arraycopy(message.part(), 0, state, receivedBytes, message.part().length);
    receivedBytes += message.part().length;
  }

  int receivedBytes() {
    return receivedBytes;
  }

  boolean isComplete() {
    return receivedBytes == state.length;
  }

  Snapshot snapshot() {
    return new Snapshot(index, term, membership, state);
  }
}
