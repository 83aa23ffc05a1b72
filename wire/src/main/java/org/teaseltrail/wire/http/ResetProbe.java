package org.teaseltrail.wire.http;

import io.netty.channel.Channel;

/**
 * Tells whether a connection whose end was read has been reset as well. A reset that follows an
 * orderly end is shown to writers only; readers see the end.
 */
interface ResetProbe {

  /** Returns whether a connection is known to be reset. */
  boolean isReset(Channel channel);
}
