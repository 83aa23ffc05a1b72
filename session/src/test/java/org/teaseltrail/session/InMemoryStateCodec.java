package org.teaseltrail.session;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.teaseltrail.core.state.ClusterSnapshot;
import org.teaseltrail.core.state.Command;
import org.teaseltrail.core.state.StateCodec;

/**
 * State codec that keeps the immutable objects in memory and encodes them as indexes into a table.
 */
final class InMemoryStateCodec implements StateCodec {

  private final List<Object> table = new ArrayList<>();

  @Override
  public byte[] encodeCommand(Command command) {
    return put(command);
  }

  @Override
  public Command decodeCommand(byte[] bytes) {
    return (Command) get(bytes);
  }

  @Override
  public byte[] encodeSnapshot(ClusterSnapshot snapshot) {
    return put(snapshot);
  }

  @Override
  public ClusterSnapshot decodeSnapshot(byte[] bytes) {
    return (ClusterSnapshot) get(bytes);
  }

  private byte[] put(Object value) {
    table.add(value);
    return ByteBuffer.allocate(Integer.BYTES).putInt(table.size() - 1).array();
  }

  private Object get(byte[] bytes) {
    return table.get(ByteBuffer.wrap(bytes).getInt());
  }
}
