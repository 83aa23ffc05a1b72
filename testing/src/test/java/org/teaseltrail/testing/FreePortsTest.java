package org.teaseltrail.testing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FreePortsTest {

  private static final int FIRST_PORT = 12_000;
  private static final int FIRST_PORT_OF_THE_KERNEL = 32_768;
  private static final int BLOCK_PORTS = 100;

  /** Guards against a port that a connection, or a listener at port 0, takes before its server. */
  @Test
  void portsAreNoneThatTheKernelPicks() throws IOException {
    for (int i = 0; i < 3 * BLOCK_PORTS; i++) {
      assertThat(FreePorts.nextAddress().getPort()).isBetween(FIRST_PORT, FIRST_PORT_OF_THE_KERNEL);
    }
  }

  /** Guards against two servers of a test that get the same port. */
  @Test
  void noPortIsPickedTwice() throws IOException {
    Set<Integer> ports = new HashSet<>();
    for (int i = 0; i < 3 * BLOCK_PORTS; i++) {
      assertThat(ports.add(FreePorts.nextAddress().getPort())).isTrue();
    }
  }

  /** Guards against test processes that run at the same time and pick the same ports. */
  @Test
  void blockOfPickedPortIsClaimed() throws IOException {
    int port = FreePorts.nextAddress().getPort();
    int firstOfBlock = port - port % BLOCK_PORTS;
    assertThatThrownBy(() -> listen(firstOfBlock)).isInstanceOf(BindException.class);
  }

  /** Guards against a port on which another process listens already. */
  @Test
  void portInUseIsNotPicked() throws IOException {
    int previous = FreePorts.nextAddress().getPort();
    while (previous % BLOCK_PORTS == BLOCK_PORTS - 1) {
      previous = FreePorts.nextAddress().getPort();
    }
    try (ServerSocket inUse = listen(previous + 1)) {
      assertThat(FreePorts.nextAddress().getPort()).isNotEqualTo(inUse.getLocalPort());
    }
  }

  private static ServerSocket listen(int port) throws IOException {
    return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
  }
}
