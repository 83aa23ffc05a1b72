package org.teaseltrail.core.upstream;

/**
 * Address at which a process listens.
 *
 * @param host the IP address
 * @param port the TCP port
 */
public record SocketAddress(String host, int port) {

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
}
