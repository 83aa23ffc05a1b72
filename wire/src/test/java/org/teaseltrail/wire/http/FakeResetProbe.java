package org.teaseltrail.wire.http;

import io.netty.channel.Channel;

/** A probe whose connections are reset when a test says so. */
final class FakeResetProbe implements ResetProbe {

  private boolean reset;

  void reset() {
    reset = true;
  }

  @Override
  public boolean isReset(Channel channel) {
    return reset;
  }
}
