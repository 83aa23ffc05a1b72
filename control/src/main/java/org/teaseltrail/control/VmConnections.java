package org.teaseltrail.control;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.runtime.log.PartLogger;
import org.teaseltrail.wire.CloseReason;
import org.teaseltrail.wire.FrameConnection;
import org.teaseltrail.wire.FrameListener;

/**
 * Holds the connection of each entry VM; the newest counts.
 *
 * @param <I> what VMs say
 * @param <O> what they are told
 */
final class VmConnections<I, O> implements FrameListener<I, O> {

  private final PartLogger logger = new PartLogger("control");
  private final Map<VmId, FrameConnection<I, O>> connections = new ConcurrentHashMap<>();
  private final BiFunction<VmId, I, ControlEvent> events;
  private final Consumer<ControlEvent> sink;

  VmConnections(BiFunction<VmId, I, ControlEvent> events, Consumer<ControlEvent> sink) {
    this.events = events;
    this.sink = sink;
  }

  /** Sends a message if the VM is connected; otherwise it is lost, and the VM tells all anew. */
  void send(VmId vm, O message) {
    FrameConnection<I, O> connection = connections.get(vm);
    if (connection != null) {
      connection.send(message);
    }
  }

  @Override
  public void opened(FrameConnection<I, O> connection) {
    VmId vm = vmOf(connection);
    FrameConnection<I, O> before = connections.put(vm, connection);
    logger.info("Entry VM " + vm + " is connected.");
    if (before != null) {
      before.close();
    }
  }

  @Override
  public void received(FrameConnection<I, O> connection, I message) {
    sink.accept(events.apply(vmOf(connection), message));
  }

  @Override
  public void closed(FrameConnection<I, O> connection, CloseReason reason) {
    VmId vm = vmOf(connection);
    if (connections.remove(vm, connection)) {
      logger.info("Connection of entry VM " + vm + " has ended: " + reason + ".");
    }
  }

  int count() {
    return connections.size();
  }

  private VmId vmOf(FrameConnection<I, O> connection) {
    return new VmId(connection.opening().speakerId());
  }
}
