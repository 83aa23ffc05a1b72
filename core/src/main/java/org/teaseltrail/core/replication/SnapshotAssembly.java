package org.teaseltrail.core.replication;

/** Puts the parts of one leader's snapshot together. */
final class SnapshotAssembly {

  private final long index;
  private final long term;
  private final Membership membership;
  private final byte[] state;
  private int receivedBytes;

  SnapshotAssembly(PeerMessage.InstallSnapshot first) {
    this.index = first.snapshotIndex();
    this.term = first.snapshotTerm();
    this.membership = first.membership();
    this.state = new byte[first.totalBytes()];
  }

  boolean isOf(PeerMessage.InstallSnapshot message) {
    return index == message.snapshotIndex()
        && term == message.snapshotTerm()
        && state.length == message.totalBytes();
  }

  /** Takes a part if it is the next one; a repeated or early part is left for a resend. */
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
