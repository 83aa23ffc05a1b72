package org.teaseltrail.core.upstream;

import java.util.Optional;

/**
 * Address at which a process listens.
 *
 * @param host the IP address
 * @param port the TCP port
 */
public record SocketAddress(String host, int port) {

  private static final int MAX_PORT = 65_535;

  /**
   * Parses an address of the form {@code ip:port}.
   *
   * @param text the text
   * @return the address
   * @throws IllegalArgumentException if the text does not have this form
   */
  public static SocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("not of the form ip:port");
    }
    return new SocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /**
   * Parses an address that another VM or program has told, to which a connection is to be made.
   *
   * @param text the text
   * @return the address; empty if the text does not have the form {@code ip:port}, or if its port
   *     is none that a server can listen on
   */
  public static Optional<SocketAddress> parseServer(String text) {
    try {
      SocketAddress address = parse(text);
      boolean isServer = address.port() > 0 && address.port() <= MAX_PORT;
      return isServer ? Optional.of(address) : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
