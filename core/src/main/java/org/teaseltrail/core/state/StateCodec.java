package org.teaseltrail.core.state;

/**
 * Writes commands and snapshots for the log. Passed in, so that the core needs no codec library.
 * What one version writes, every later version reads.
 */
public interface StateCodec {

  /** Encodes a command. */
  byte[] encodeCommand(Command command);

  /** Decodes a command that was encoded here or by another member. */
  Command decodeCommand(byte[] bytes);

  /** Encodes a snapshot. */
  byte[] encodeSnapshot(ClusterSnapshot snapshot);

  /** Decodes a snapshot that was encoded here or by another member. */
  ClusterSnapshot decodeSnapshot(byte[] bytes);
}
