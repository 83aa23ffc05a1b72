package org.teaseltrail.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import java.util.List;
import jdk.net.ExtendedSocketOptions;

/**
 * Sets probes by which a connection that has fallen silent without a reset is found within 3 s. It
 * shows as a request that hangs until its deadline, while new connections to the same upstream
 * work; the probes end it, and the request fails or goes on elsewhere.
 */
final class SilenceProbes {

  private static final int PROBE_AFTER_S = 1;
  private static final int PROBE_EVERY_S = 1;
  private static final int PROBES = 2;

  private SilenceProbes() {}

  /** Sets the probes for connections that are made on the VM's event loop. */
  static void addTo(Bootstrap bootstrap) {
    List<ChannelOption<Integer>> options = SharedEventLoop.NATIVE ? nativeOptions() : javaOptions();
    bootstrap
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(options.get(0), PROBE_AFTER_S)
        .option(options.get(1), PROBE_EVERY_S)
        .option(options.get(2), PROBES);
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
