package org.teaseltrail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.grpc.Server;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.NettyServerBuilder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.teaseltrail.api.v1.GetConfigurationResponse;
import org.teaseltrail.runtime.process.ExitCode;

/**
 * Calls a member over a real socket, because gRPC runs on a newer Netty version than the one that
 * it declares as its dependency.
 */
class SocketTest {

  @Test
  void asksMemberOverLoopback() throws IOException {
    FakeOperatorService operator = new FakeOperatorService();
    operator.enqueueAnswer(GetConfigurationResponse.getDefaultInstance());
    ByteArrayOutputStream printed = new ByteArrayOutputStream();
    Server server = start(operator);

    ExitCode exitCode = list(server.getPort(), printed);

    server.shutdownNow();
    assertThat(exitCode).isEqualTo(ExitCode.OK);
    assertThat(printed.toString(StandardCharsets.UTF_8)).isEqualTo("RANK  NAME\nrevision 0\n");
  }

  private static Server start(FakeOperatorService operator) throws IOException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    return NettyServerBuilder.forAddress(any).addService(operator).build().start();
  }

  private static ExitCode list(int port, ByteArrayOutputStream printed) {
    PrintStream stream = new PrintStream(printed, true, StandardCharsets.UTF_8);
    CommandLine commandLine =
        new CommandLine(
            stream,
            stream,
            address -> NettyChannelBuilder.forAddress(address).usePlaintext().build(),
            RetryClock.SYSTEM);
    return commandLine.run("--server", "127.0.0.1:" + port, "tier", "list");
  }
}
