package org.teaseltrail.core.control;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.teaseltrail.core.state.ClusterSnapshot;
import org.teaseltrail.core.state.Command;
import org.teaseltrail.core.state.StateCodec;

/** Encodes a value as its index in a list that all members of a test share. */
final class MemoryCodec implements StateCodec {

  private final List<Object> values = new ArrayList<>();

  @Override
  public byte[] encodeCommand(Command command) {
    return encode(command);
  }

  @Override
  public Command decodeCommand(byte[] bytes) {
    return (Command) decode(bytes);
  }

  @Override
  public byte[] encodeSnapshot(ClusterSnapshot snapshot) {
    return encode(snapshot);
  }

  @Override
  public ClusterSnapshot decodeSnapshot(byte[] bytes) {
    return (ClusterSnapshot) decode(bytes);
  }

  private byte[] encode(Object value) {
    values.add(value);
    return ByteBuffer.allocate(Integer.BYTES).putInt(values.size() - 1).array();
  }

  private Object decode(byte[] bytes) {
    return values.get(ByteBuffer.wrap(bytes).getInt());
  }
}
