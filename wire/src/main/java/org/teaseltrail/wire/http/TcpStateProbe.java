package org.teaseltrail.wire.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollSocketChannel;

/** Asks Linux for the state of a connection, which the JDK's transport doesn't offer. */
final class TcpStateProbe implements ResetProbe {

  /** TCP_CLOSE of Linux: state after a reset. */
  private static final int CLOSED = 7;

  @Override
  public boolean isReset(Channel channel) {
    try {
      return channel instanceof EpollSocketChannel socket && socket.tcpInfo().state() == CLOSED;
    } catch (ChannelException e) {
      return false;
    }
  }
}
