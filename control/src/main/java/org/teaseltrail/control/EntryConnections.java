package org.teaseltrail.control;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.runtime.log.PartLogger;
import org.teaseltrail.wire.CloseReason;
import org.teaseltrail.wire.FrameConnection;
import org.teaseltrail.wire.FrameListener;

/** Holds the connection of each entry VM; the newest counts. */
final class EntryConnections implements FrameListener<EntryMessage, ControlMessage> {

  private final PartLogger logger = new PartLogger("control");
  private final Map<VmId, FrameConnection<EntryMessage, ControlMessage>> connections =
      new ConcurrentHashMap<>();
  private final Consumer<ControlEvent> events;

  EntryConnections(Consumer<ControlEvent> events) {
    this.events = events;
  }

  /** Sends a message if the VM is connected; otherwise it is lost, and the VM tells all anew. */
  void send(VmId vm, ControlMessage message) {
    FrameConnection<EntryMessage, ControlMessage> connection = connections.get(vm);
    if (connection != null) {
      connection.send(message);
    }
  }

  @Override
  public void opened(FrameConnection<EntryMessage, ControlMessage> connection) {
    VmId vm = vmOf(connection);
    FrameConnection<EntryMessage, ControlMessage> before = connections.put(vm, connection);
    logger.info("Entry VM " + vm + " is connected.");
    if (before != null) {
      before.close();
    }
  }

  @Override
  public void received(
      FrameConnection<EntryMessage, ControlMessage> connection, EntryMessage message) {
    events.accept(new ControlEvent.FromEntry(vmOf(connection), message));
  }

  @Override
  public void closed(FrameConnection<EntryMessage, ControlMessage> connection, CloseReason reason) {
    VmId vm = vmOf(connection);
    if (connections.remove(vm, connection)) {
      logger.info("Connection of entry VM " + vm + " has ended: " + reason + ".");
    }
  }

  int count() {
    return connections.size();
  }

  private static VmId vmOf(FrameConnection<EntryMessage, ControlMessage> connection) {
    return new VmId(connection.opening().speakerId());
  }
}
