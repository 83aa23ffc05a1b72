package org.teaseltrail.wire;

import org.teaseltrail.core.state.ClusterSnapshot;
import org.teaseltrail.core.state.Command;
import org.teaseltrail.core.state.StateCodec;

/** Encodes commands and snapshots of the replicated state as MessagePack. */
public final class MessagePackStateCodec implements StateCodec {

  private final MessageCodec codec;

  /** Creates the codec on top of the message codec. */
  public MessagePackStateCodec(MessageCodec codec) {
    this.codec = codec;
  }

  @Override
  public byte[] encodeCommand(Command command) {
    return codec.encode(Command.class, command);
  }

  @Override
  public Command decodeCommand(byte[] bytes) {
    return codec.decode(Command.class, bytes);
  }

  @Override
  public byte[] encodeSnapshot(ClusterSnapshot snapshot) {
    return codec.encode(ClusterSnapshot.class, snapshot);
  }

  @Override
  public ClusterSnapshot decodeSnapshot(byte[] bytes) {
    return codec.decode(ClusterSnapshot.class, bytes);
  }
}
