package org.teaseltrail.control;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.core.replication.PeerEnvelope;
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

/**
 * Manages the connections to the VMs of the other control members. Each side sends on the
 * connection that it opened, except to a peer whose VM it does not know.
 */
final class PeerConnections implements AutoCloseable, FrameListener<PeerEnvelope, PeerEnvelope> {

  private static final long MIN_BACKOFF_MS = 20;
  private static final long MAX_BACKOFF_MS = 500;

  private final VmAddressResolver directory;
  private final Map<VmId, FrameClient<PeerEnvelope, PeerEnvelope>> clients =
      new ConcurrentHashMap<>();
  private final Map<MemberId, FrameConnection<PeerEnvelope, PeerEnvelope>> inbound =
      new ConcurrentHashMap<>();
  private final Map<MemberId, VmId> vms = new ConcurrentHashMap<>();
  private final Consumer<ControlEvent> events;
  private final Member self;
  private final MessageCodec codec;
  private final RandomGenerator random;

  PeerConnections(
      Member self,
      VmAddressResolver directory,
      MessageCodec codec,
      RandomGenerator random,
      Consumer<ControlEvent> events) {
    this.self = self;
    this.codec = codec;
    this.random = random;
    this.events = events;
    this.directory = directory;
  }

  /** Connects to a VM, unless it is this VM or already has a connection. */
  void connect(VmId vm) {
    if (!vm.equals(self.vm())) {
      directory
          .resolve(vm)
          .ifPresent(address -> clients.computeIfAbsent(vm, key -> client(address)));
    }
  }

  /** Closes the connections to VMs that no longer have a member. */
  void retain(Membership membership) {
    Set<VmId> wanted = membership.all().map(Member::vm).collect(Collectors.toSet());
    clients
        .entrySet()
        .removeIf(
            entry -> {
              boolean departed = !wanted.contains(entry.getKey());
              if (departed) {
                entry.getValue().close();
              }
              return departed;
            });
  }

  FrameEndpoint<PeerEnvelope, PeerEnvelope> endpoint() {
    return new FrameEndpoint<>(
        ClientType.CONTROL_MEMBER, PeerEnvelope.class, PeerEnvelope.class, this);
  }

  void members(Membership membership) {
    membership.all().forEach(member -> vms.put(member.id(), member.vm()));
    membership.all().map(Member::vm).forEach(this::connect);
  }

  /** Sends a message if there is a connection to its receiver; drops it otherwise. */
  void send(PeerEnvelope envelope) {
    VmId vm = vms.get(envelope.to());
    FrameClient<PeerEnvelope, PeerEnvelope> client = vm == null ? null : clients.get(vm);
    if (client != null) {
      client.send(envelope);
      return;
    }
    // A joining member does not know the other members yet, so its replies would be dropped: the
    // leader would send it only probes and would never promote it to a voter, as not caught up. The
    // reply is therefore sent on the connection that the leader opened.
    FrameConnection<PeerEnvelope, PeerEnvelope> inboundConnection = inbound.get(envelope.to());
    if (inboundConnection != null) {
      inboundConnection.send(envelope);
    }
  }

  @Override
  public void onOpened(FrameConnection<PeerEnvelope, PeerEnvelope> connection) {}

  @Override
  public void onReceived(
      FrameConnection<PeerEnvelope, PeerEnvelope> connection, PeerEnvelope envelope) {
    inbound.put(envelope.from(), connection);
    events.accept(new ControlEvent.FromPeer(envelope));
  }

  @Override
  public void onClosed(FrameConnection<PeerEnvelope, PeerEnvelope> connection, CloseReason reason) {
    inbound.values().removeIf(connection::equals);
  }

  @Override
  public void close() {
    clients.values().forEach(FrameClient::close);
  }

  private FrameClient<PeerEnvelope, PeerEnvelope> client(SocketAddress address) {
    return FrameClient.connect(
        address,
        self.id().value(),
        endpoint(),
        FrameLimits.defaults(),
        codec,
        new ReconnectBackoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS, random));
  }
}
