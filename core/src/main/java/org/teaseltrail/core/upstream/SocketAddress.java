package org.teaseltrail.core.upstream;

/**
 * Is where a process listens.
 *
 * @param host an IP number
 * @param port the TCP port
 */
public record SocketAddress(String host, int port) {}
