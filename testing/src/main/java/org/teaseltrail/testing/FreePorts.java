package org.teaseltrail.testing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Picks ports on loopback for servers that a test starts later.
 *
 * <p>They lie below the range from which the kernel takes ports for connections and for listeners
 * at port 0, so that none of these takes a port before its server does. A process takes whole
 * blocks and listens on the first port of each until it ends, so that two processes never pick the
 * same port.
 */
public final class FreePorts {

  private static final String LOOPBACK = "127.0.0.1";
  private static final int FIRST_PORT = 12_000;
  private static final int LAST_PORT = 32_000;
  private static final int BLOCK_PORTS = 100;
  private static final int MAX_TRIES = 400;

  private static final List<ServerSocket> CLAIMS = new ArrayList<>();
  private static int nextPort;
  private static int endPort;

  private FreePorts() {}

  /**
   * Returns an address on which nothing listens and that no earlier call has returned.
   *
   * @throws IOException if none is found
   */
  public static InetSocketAddress nextAddress() throws IOException {
    return new InetSocketAddress(LOOPBACK, nextPorts(1, List.of(LOOPBACK)));
  }

  /**
   * Returns the first of successive ports on which nothing listens and that no earlier call has
   * returned.
   *
   * @param count number of ports, less than a hundred
   * @param hosts loopback addresses at which each of them has to be free
   * @throws IOException if none are found
   */
  public static synchronized int nextPorts(int count, List<String> hosts) throws IOException {
    for (int i = 0; i < MAX_TRIES; i++) {
      if (nextPort + count > endPort) {
        claimBlock();
      }
      int first = nextPort;
      nextPort += count;
      if (areFree(first, count, hosts)) {
        return first;
      }
    }
    throw new IOException("no free ports found");
  }

  private static void claimBlock() throws IOException {
    int blocks = (LAST_PORT - FIRST_PORT) / BLOCK_PORTS;
    for (int i = 0; i < MAX_TRIES; i++) {
      int first = FIRST_PORT + BLOCK_PORTS * ThreadLocalRandom.current().nextInt(blocks);
      try {
        CLAIMS.add(listen(LOOPBACK, first));
        nextPort = first + 1;
        endPort = first + BLOCK_PORTS;
        return;
      } catch (IOException e) {
        // Another process has claimed the block.
      }
    }
    throw new IOException("no block of ports found");
  }

  private static boolean areFree(int first, int count, List<String> hosts) {
    for (int port = first; port < first + count; port++) {
      for (String host : hosts) {
        try (ServerSocket socket = listen(host, port)) {
          socket.getLocalPort();
        } catch (IOException e) {
          // Another process listens on the port.
          return false;
        }
      }
    }
    return true;
  }

  private static ServerSocket listen(String host, int port) throws IOException {
    return new ServerSocket(port, 1, InetAddress.getByName(host));
  }
}
