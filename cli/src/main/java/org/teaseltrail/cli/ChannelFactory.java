package org.teaseltrail.cli;

import io.grpc.ManagedChannel;
import java.net.InetSocketAddress;

/** Factory of gRPC channels to control members. */
interface ChannelFactory {

  /**
   * Opens a channel.
   *
   * @param address the address on which the member serves operators
   * @return the channel; the caller must shut it down
   */
  ManagedChannel open(InetSocketAddress address);
}
