package org.teaseltrail.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.wire.ClientType;
import org.teaseltrail.wire.CloseReason;
import org.teaseltrail.wire.FrameClient;
import org.teaseltrail.wire.FrameConnection;
import org.teaseltrail.wire.FrameEndpoint;
import org.teaseltrail.wire.FrameLimits;
import org.teaseltrail.wire.FrameListener;
import org.teaseltrail.wire.MessageCodec;
import org.teaseltrail.wire.ReconnectBackoff;

/** Maintains one connection to each control member. */
final class ControlConnectionManager implements AutoCloseable {

  private static final long MIN_BACKOFF_MS = 50;
  private static final long MAX_BACKOFF_MS = 1_000;

  private final NodeEventLoop loop;
  private final MessageCodec codec = new MessageCodec();
  private final Map<MemberId, FrameClient<ControlMessage, EntryMessage>> clients = new HashMap<>();

  ControlConnectionManager(NodeEventLoop loop) {
    this.loop = loop;
  }

  /** Starts connecting to all control members. */
  void open(VmId vm, List<MemberAddress> members) {
    for (MemberAddress member : members) {
      FrameEndpoint<ControlMessage, EntryMessage> endpoint =
          new FrameEndpoint<>(
              ClientType.ENTRY_VM,
              ControlMessage.class,
              EntryMessage.class,
              new MemberListener(member.member()));
      clients.put(
          member.member(),
          FrameClient.connect(
              member.address(),
              vm.value(),
              endpoint,
              FrameLimits.defaults(),
              codec,
              new ReconnectBackoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS, RandomGenerator.getDefault())));
    }
  }

  void send(MemberId member, EntryMessage message) {
    FrameClient<ControlMessage, EntryMessage> client = clients.get(member);
    if (client != null) {
      client.send(message);
    }
  }

  void reconnect(MemberId member) {
    FrameClient<ControlMessage, EntryMessage> client = clients.get(member);
    if (client != null) {
      client.connection().ifPresent(FrameConnection::close);
    }
  }

  @Override
  public void close() {
    clients.values().forEach(FrameClient::close);
  }

  /** Submits the connection events and messages of one member to the node. */
  private final class MemberListener implements FrameListener<ControlMessage, EntryMessage> {

    private final MemberId member;

    MemberListener(MemberId member) {
      this.member = member;
    }

    @Override
    public void onOpened(FrameConnection<ControlMessage, EntryMessage> connection) {
      loop.submit(new EntryEvent.ControlConnected(member));
    }

    @Override
    public void onReceived(
        FrameConnection<ControlMessage, EntryMessage> connection, ControlMessage message) {
      loop.submit(new EntryEvent.ControlReceived(member, message));
    }

    @Override
    public void onClosed(
        FrameConnection<ControlMessage, EntryMessage> connection, CloseReason reason) {
      loop.submit(new EntryEvent.ControlDisconnected(member));
    }
  }
}
