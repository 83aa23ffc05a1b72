package org.teaseltrail.core.request;

/** How a received frame is handled. */
public enum FrameDisposition {
  /** It is the next frame of the stream and is delivered. */
  NEXT,
  /** It was received before or follows the end frame; it is dropped. */
  DUPLICATE,
  /** Frames before it are missing, so the connection is no longer trusted. */
  GAP,
  /** It belongs to another request, so the connection is no longer trusted. */
  FOREIGN;

  /** Returns whether the connection must be closed and the stream resumed on a new one. */
  public boolean requiresReconnect() {
    return this == GAP || this == FOREIGN;
  }
}
