package org.teaseltrail.entry;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.wire.ClientType;
import org.teaseltrail.wire.CloseReason;
import org.teaseltrail.wire.FrameConnection;
import org.teaseltrail.wire.FrameEndpoint;
import org.teaseltrail.wire.FrameLimits;
import org.teaseltrail.wire.FrameListener;
import org.teaseltrail.wire.FrameServer;
import org.teaseltrail.wire.MessageCodec;

/** A control member that acts as leader at once and grants its only engine to each offer. */
final class FakeControlMember
    implements AutoCloseable, FrameListener<EntryMessage, ControlMessage> {

  static final MemberId MEMBER = new MemberId("c1");
  private static final FencingNumber FENCING = new FencingNumber(1);

  final Queue<EntryMessage> heard = new ConcurrentLinkedQueue<>();
  private final Configuration configuration;
  private final UpstreamId upstream;
  private final SocketAddress upstreamAddress;
  private final FrameServer server;

  FakeControlMember(
      Configuration configuration, UpstreamId upstream, SocketAddress upstreamAddress) {
    this.configuration = configuration;
    this.upstream = upstream;
    this.upstreamAddress = upstreamAddress;
    this.server =
        FrameServer.listen(
            new SocketAddress("127.0.0.1", 0),
            FrameLimits.defaults(),
            new MessageCodec(),
            new FrameEndpoint<>(
                ClientType.ENTRY_VM, EntryMessage.class, ControlMessage.class, this));
  }

  MemberAddress address() {
    return new MemberAddress(MEMBER, new SocketAddress("127.0.0.1", server.port()));
  }

  List<EntryMessage> heard(Class<? extends EntryMessage> type) {
    return heard.stream().filter(type::isInstance).toList();
  }

  @Override
  public void onOpened(FrameConnection<EntryMessage, ControlMessage> connection) {
    connection.send(new ControlMessage.ConfigurationUpdate(FENCING, configuration));
  }

  @Override
  public void onReceived(
      FrameConnection<EntryMessage, ControlMessage> connection, EntryMessage message) {
    heard.add(message);
    if (message instanceof EntryMessage.Hello hello) {
      connection.send(
          new ControlMessage.Welcome(
              MEMBER, FENCING, configuration.revision(), 3_000, false, hello.sequence()));
    } else if (message instanceof EntryMessage.Offer offer) {
      connection.send(
          new ControlMessage.Grant(
              offer.ticket().request(), upstream, new Incarnation(1), upstreamAddress, FENCING));
    }
  }

  @Override
  public void onClosed(
      FrameConnection<EntryMessage, ControlMessage> connection, CloseReason reason) {}

  @Override
  public void close() {
    server.close();
  }
}
