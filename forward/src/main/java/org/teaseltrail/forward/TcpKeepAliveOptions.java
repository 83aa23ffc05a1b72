package org.teaseltrail.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import java.util.List;
import jdk.net.ExtendedSocketOptions;

/**
 * TCP options that detect a connection that failed without a reset within 3 s. Without them, a
 * request on such a connection hangs until its deadline, although new connections to the same
 * upstream work. The connection is closed, and the request fails or is continued elsewhere.
 *
 * <p>Keep-alive probes are sent only while nothing is unacknowledged; for a request that was sent
 * and never acknowledged the user timeout applies, which the JDK's transport does not offer.
 */
final class TcpKeepAliveOptions {

  private static final int IDLE_S = 1;
  private static final int INTERVAL_S = 1;
  private static final int PROBES = 2;

  /** Not shorter than the probes take, since it also ends them. */
  private static final int USER_TIMEOUT_MS = 3_000;

  private TcpKeepAliveOptions() {}

  /** Sets the options for connections on the VM's event loop. */
  static void applyTo(Bootstrap bootstrap) {
    List<ChannelOption<Integer>> options = SharedEventLoop.NATIVE ? nativeOptions() : javaOptions();
    bootstrap
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(options.get(0), IDLE_S)
        .option(options.get(1), INTERVAL_S)
        .option(options.get(2), PROBES);
    if (SharedEventLoop.NATIVE) {
      bootstrap.option(EpollChannelOption.TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
    }
  }

  private static List<ChannelOption<Integer>> nativeOptions() {
    return List.of(
        EpollChannelOption.TCP_KEEPIDLE,
        EpollChannelOption.TCP_KEEPINTVL,
        EpollChannelOption.TCP_KEEPCNT);
  }

  private static List<ChannelOption<Integer>> javaOptions() {
    return List.of(
        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT));
  }
}
