package org.teaseltrail.control;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.runtime.log.ComponentLogger;
import org.teaseltrail.wire.CloseReason;
import org.teaseltrail.wire.FrameConnection;
import org.teaseltrail.wire.FrameListener;

/**
 * Tracks the current connection of each entry VM; a new connection replaces and closes the previous
 * one.
 *
 * @param <I> type of the messages received from VMs
 * @param <O> type of the messages sent to VMs
 */
final class EntryVmConnections<I, O> implements FrameListener<I, O> {

  private final ComponentLogger logger = new ComponentLogger("control");
  private final Map<VmId, FrameConnection<I, O>> connections = new ConcurrentHashMap<>();
  private final BiFunction<VmId, I, ControlEvent> eventFactory;
  private final Consumer<VmId> connected;
  private final Consumer<ControlEvent> sink;

  EntryVmConnections(
      BiFunction<VmId, I, ControlEvent> eventFactory,
      Consumer<VmId> connected,
      Consumer<ControlEvent> sink) {
    this.eventFactory = eventFactory;
    this.connected = connected;
    this.sink = sink;
  }

  /**
   * Sends a message if the VM is connected; drops it otherwise, since the VM reports its full state
   * again when it reconnects.
   */
  void send(VmId vm, O message) {
    FrameConnection<I, O> connection = connections.get(vm);
    if (connection != null) {
      connection.send(message);
    }
  }

  @Override
  public void onOpened(FrameConnection<I, O> connection) {
    VmId vm = vmOf(connection);
    FrameConnection<I, O> before = connections.put(vm, connection);
    connected.accept(vm);
    logger.info("Entry VM " + vm + " connected.");
    if (before != null) {
      before.close();
    }
  }

  @Override
  public void onReceived(FrameConnection<I, O> connection, I message) {
    sink.accept(eventFactory.apply(vmOf(connection), message));
  }

  @Override
  public void onClosed(FrameConnection<I, O> connection, CloseReason reason) {
    VmId vm = vmOf(connection);
    if (connections.remove(vm, connection)) {
      logger.info("Connection of entry VM " + vm + " closed: " + reason + ".");
    }
  }

  int count() {
    return connections.size();
  }

  private VmId vmOf(FrameConnection<I, O> connection) {
    return new VmId(connection.handshake().speakerId());
  }
}
