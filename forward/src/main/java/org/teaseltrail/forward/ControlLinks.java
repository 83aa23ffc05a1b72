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
import org.teaseltrail.wire.CloseReason;
import org.teaseltrail.wire.FrameClient;
import org.teaseltrail.wire.FrameConnection;
import org.teaseltrail.wire.FrameEndpoint;
import org.teaseltrail.wire.FrameLimits;
import org.teaseltrail.wire.FrameListener;
import org.teaseltrail.wire.MessageCodec;
import org.teaseltrail.wire.ReconnectBackoff;
import org.teaseltrail.wire.SpeakerKind;
import reactor.netty.resources.LoopResources;

/** Holds connections to the control members, whose VMs are named by their addresses. */
final class ControlLinks implements AutoCloseable, FrameListener<ServingReply, ServingMessage> {

  private static final long MIN_BACKOFF_MS = 50;

  /**
   * Greatest time between two tries to connect to a member. A member that is back is heard of half
   * of it later; a try is one packet.
   */
  private static final long MAX_BACKOFF_MS = 250;

  /**
   * Silence after which a link is made anew: guards against one that has fallen silent without a
   * reset, well within the session's lifetime.
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

  ControlLinks(
      LoopResources loops, VmId self, RandomGenerator random, Consumer<ServingReply> replies) {
    this.loops = loops;
    this.self = self;
    this.random = random;
    this.replies = replies;
  }

  /** Connects to members and ends the connections to others. */
  void keep(List<VmId> members) {
    Set<VmId> left = new HashSet<>(clients.keySet());
    members.forEach(left::remove);
    left.forEach(vm -> clients.remove(vm).close());
    members.forEach(vm -> clients.computeIfAbsent(vm, this::client));
  }

  /** Sends a message if the member is connected; otherwise it is lost. */
  void send(VmId member, ServingMessage message) {
    FrameClient<ServingReply, ServingMessage> client = clients.get(member);
    if (client != null) {
      client.send(message);
    }
  }

  @Override
  public void opened(FrameConnection<ServingReply, ServingMessage> connection) {}

  @Override
  public void received(
      FrameConnection<ServingReply, ServingMessage> connection, ServingReply reply) {
    replies.accept(reply);
  }

  @Override
  public void closed(
      FrameConnection<ServingReply, ServingMessage> connection, CloseReason reason) {}

  @Override
  public void close() {
    clients.values().forEach(FrameClient::close);
  }

  private FrameClient<ServingReply, ServingMessage> client(VmId vm) {
    return FrameClient.connect(
        loops,
        SocketAddress.parse(vm.value()),
        self.value(),
        new FrameEndpoint<>(SpeakerKind.SERVING_VM, ServingReply.class, ServingMessage.class, this),
        LIMITS,
        codec,
        new ReconnectBackoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS, random));
  }
}
