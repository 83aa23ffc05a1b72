package org.teaseltrail.wire;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;
import org.teaseltrail.core.id.FencingNumber;

/**
 * Keeps the bodies of frames that were written last: a leader sends the same ones to each entry VM,
 * hundreds of them at the two-year size. Thread-safe.
 *
 * <p>Contents are told apart by identity: they are immutable, and comparing whole ones would cost
 * as much as writing them.
 */
final class FrameCache {

  /** Frames kept: VMs that missed a push or two are told from the states before. */
  private static final int KEPT = 4;

  /**
   * Is what a frame starts from or brings.
   *
   * @param version its version; two of them may hold the same empty list
   * @param value its value, null for nothing
   */
  record Content(long version, Object value) {

    /** What a receiver holds to which nothing was sent. */
    static final Content NONE = new Content(0, null);

    private boolean isSame(Content other) {
      return version == other.version && value == other.value;
    }
  }

  private record Written(Content from, Content to, FencingNumber fencing, byte[] body) {

    boolean isOf(Content wantedFrom, Content wantedTo, FencingNumber wantedFencing) {
      return from.isSame(wantedFrom) && to.isSame(wantedTo) && fencing.equals(wantedFencing);
    }
  }

  private final Deque<Written> written = new ArrayDeque<>();

  /**
   * Returns the body of a frame.
   *
   * @param from what the receiver holds
   * @param to what it shall hold
   * @param fencing the leadership that tells it
   * @param write writes the frame if it isn't kept
   */
  synchronized byte[] body(
      Content from, Content to, FencingNumber fencing, Supplier<byte[]> write) {
    for (Written each : written) {
      if (each.isOf(from, to, fencing)) {
        return each.body();
      }
    }
    byte[] body = write.get();
    if (written.size() == KEPT) {
      written.removeLast();
    }
    written.addFirst(new Written(from, to, fencing, body));
    return body;
  }
}
