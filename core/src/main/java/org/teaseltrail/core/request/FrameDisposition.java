package org.teaseltrail.core.request;

/** Says what becomes of a frame. */
public enum FrameDisposition {
  /** It is the next one. */
  NEXT,
  /** It was seen before, or comes after the end; dropped. */
  DUPLICATE,
  /** Frames before it are missing; the connection isn't to be trusted. */
  GAP,
  /** It belongs to another request; the connection isn't to be trusted. */
  FOREIGN;

  /** Returns whether the connection must be given up and the stream resumed. */
  public boolean requiresReconnect() {
    return this == GAP || this == FOREIGN;
  }
}
