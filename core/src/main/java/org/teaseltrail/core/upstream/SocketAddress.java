package org.teaseltrail.core.upstream;

/**
 * Is where a process listens.
 *
 * @param host an IP number
 * @param port the TCP port
 */
public record SocketAddress(String host, int port) {

  /**
   * Reads {@code ip:port}.
   *
   * @param text the text
   * @return the address
   * @throws IllegalArgumentException if it has another form
   */
  public static SocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("not of the form ip:port");
    }
    return new SocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
