package org.teaseltrail.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.wire.ClientType;
import org.teaseltrail.wire.CloseReason;
import org.teaseltrail.wire.FrameClient;
import org.teaseltrail.wire.FrameConnection;
import org.teaseltrail.wire.FrameEndpoint;
import org.teaseltrail.wire.FrameLimits;
import org.teaseltrail.wire.FrameListener;
import org.teaseltrail.wire.MessageCodec;
import org.teaseltrail.wire.ReconnectBackoff;
import reactor.netty.resources.LoopResources;

/** Maintains the connections to the control members, whose VM ids are their addresses. */
final class ControlConnectionManager implements AutoCloseable {

  private static final long MIN_BACKOFF_MS = 50;

  /**
   * Maximum time between two attempts to connect to a member. A recovered member is detected after
   * half of it on average; an attempt costs one packet.
   */
  private static final long MAX_BACKOFF_MS = 250;

  /**
   * Idle time after which a connection is replaced. Detects a connection that failed without a
   * reset, well within the lifetime of a session.
   */
  private static final long IDLE_TIMEOUT_MS = 1_200;

  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

  private static final FrameLimits LIMITS =
      new FrameLimits(MAX_FRAME_BYTES, MAX_FRAME_BYTES, IDLE_TIMEOUT_MS, CONNECT_TIMEOUT_MS);

  private final Map<VmId, FrameClient<ServingReply, ServingMessage>> clients =
      new ConcurrentHashMap<>();
  private final LoopResources loops;
  private final VmId self;
  private final MessageCodec codec = new MessageCodec();
  private final RandomGenerator random;
  private final Consumer<ServingReply> replies;
  private final Consumer<VmId> connected;

  ControlConnectionManager(
      LoopResources loops,
      VmId self,
      RandomGenerator random,
      Consumer<ServingReply> replies,
      Consumer<VmId> connected) {
    this.loops = loops;
    this.self = self;
    this.random = random;
    this.replies = replies;
    this.connected = connected;
  }

  /** Connects to the given members and closes the connections to all others. */
  void setMembers(List<VmId> members) {
    Set<VmId> removed = new HashSet<>(clients.keySet());
    members.forEach(removed::remove);
    removed.forEach(vm -> clients.remove(vm).close());
    members.forEach(this::connect);
  }

  /** Sends a message if the member is connected; otherwise the message is dropped. */
  void send(VmId member, ServingMessage message) {
    FrameClient<ServingReply, ServingMessage> client = clients.get(member);
    if (client != null) {
      client.send(message);
    }
  }

  @Override
  public void close() {
    clients.values().forEach(FrameClient::close);
  }

  /** Connects to a member; not to one whose name, told by another member, is no address. */
  private void connect(VmId vm) {
    SocketAddress.parseServer(vm.value())
        .ifPresent(address -> clients.computeIfAbsent(vm, key -> client(key, address)));
  }

  private FrameClient<ServingReply, ServingMessage> client(VmId vm, SocketAddress address) {
    return FrameClient.connect(
        loops,
        address,
        self.value(),
        new FrameEndpoint<>(
            ClientType.SERVING_VM,
            ServingReply.class,
            ServingMessage.class,
            new MemberListener(vm)),
        LIMITS,
        codec,
        new ReconnectBackoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS, random));
  }

  /** Receives the events of the connections to one member. */
  private final class MemberListener implements FrameListener<ServingReply, ServingMessage> {

    private final VmId member;

    private MemberListener(VmId member) {
      this.member = member;
    }

    @Override
    public void onOpened(FrameConnection<ServingReply, ServingMessage> connection) {
      connected.accept(member);
    }

    @Override
    public void onReceived(
        FrameConnection<ServingReply, ServingMessage> connection, ServingReply reply) {
      replies.accept(reply);
    }

    @Override
    public void onClosed(
        FrameConnection<ServingReply, ServingMessage> connection, CloseReason reason) {}
  }
}
