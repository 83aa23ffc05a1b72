package org.teaseltrail.cli;

import io.grpc.ManagedChannel;
import java.net.InetSocketAddress;

/** Opens channels to control members. */
interface ChannelFactory {

  /**
   * Opens a channel.
   *
   * @param address where the member serves operators
   * @return the channel; the caller shuts it down
   */
  ManagedChannel open(InetSocketAddress address);
}
