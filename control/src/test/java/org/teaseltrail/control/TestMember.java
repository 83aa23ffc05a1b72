package org.teaseltrail.control;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.teaseltrail.api.v1.OperatorGrpc;
import org.teaseltrail.core.control.ControlSettings;
import org.teaseltrail.core.id.RegionId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.testing.FreePorts;

/** Runs a control member on the loopback interface and provides an operator API stub for it. */
final class TestMember implements AutoCloseable {

  private static final int CALL_TIMEOUT_MS = 5_000;

  private final ControlOptions options;
  private final ManagedChannel channel;
  private ControlDaemon daemon;

  TestMember(int number, List<PeerAddress> peers, List<PeerAddress> operators, Path data) {
    options =
        new ControlOptions(
            new VmId("control-" + number),
            new RegionId("prairie"),
            new GroupId("test"),
            address(peers.get(number - 1)),
            Optional.of(address(operators.get(number - 1))),
            new InetSocketAddress("127.0.0.1", 0),
            peers,
            operators,
            data.resolve("control-" + number),
            ControlSettings.DEFAULT,
            Optional.empty(),
            Optional.empty());
    channel =
        NettyChannelBuilder.forAddress(options.listenOperators().get()).usePlaintext().build();
  }

  /** Returns loopback addresses on which nothing listens. */
  static List<PeerAddress> unusedAddresses(int count) throws IOException {
    var addresses = new ArrayList<PeerAddress>();
    for (int i = 1; i <= count; i++) {
      SocketAddress address = new SocketAddress("127.0.0.1", FreePorts.nextAddress().getPort());
      addresses.add(new PeerAddress(new VmId("control-" + i), address));
    }
    return addresses;
  }

  TestMember start(StartMode mode) throws ProgramException {
    daemon = ControlDaemon.start(options, MemberFolderOpener.open(options, mode), 0);
    return this;
  }

  OperatorGrpc.OperatorBlockingStub operator() {
    return OperatorGrpc.newBlockingStub(channel)
        .withWaitForReady()
        .withDeadlineAfter(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Stops the member in the same way as SIGTERM does. */
  void stop() {
    daemon.close();
    daemon = null;
  }

  @Override
  public void close() {
    channel.shutdownNow();
    if (daemon != null) {
      daemon.close();
    }
  }

  private static InetSocketAddress address(PeerAddress peer) {
    return new InetSocketAddress(peer.address().host(), peer.address().port());
  }
}
