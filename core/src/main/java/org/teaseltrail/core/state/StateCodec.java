package org.teaseltrail.core.state;

/**
 * Codec for the commands and snapshots in the log. It is an interface so that the core has no
 * dependency on a codec library. Data written by one version must be readable by every later
 * version.
 */
public interface StateCodec {

  /** Encodes a command. */
  byte[] encodeCommand(Command command);

  /** Decodes a command that was encoded by this or another member. */
  Command decodeCommand(byte[] bytes);

  /** Encodes a snapshot. */
  byte[] encodeSnapshot(ClusterSnapshot snapshot);

  /** Decodes a snapshot that was encoded by this or another member. */
  ClusterSnapshot decodeSnapshot(byte[] bytes);
}
