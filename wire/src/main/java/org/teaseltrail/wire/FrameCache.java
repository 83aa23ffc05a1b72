package org.teaseltrail.wire;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;
import org.teaseltrail.core.id.FencingNumber;

/**
 * Caches the most recently encoded frame bodies, as a leader sends the same ones to every entry VM,
 * of which there are hundreds at the target cluster size. Thread-safe.
 *
 * <p>Values are compared by identity: they are immutable, and comparing them in full would cost as
 * much as encoding them.
 */
final class FrameCache {

  /** Maximum number of cached frames. VMs that missed an update or two need older bases. */
  private static final int KEPT = 4;

  /**
   * The versioned value that a frame uses as its base or carries.
   *
   * @param version the version, as two versions may share the same empty list instance
   * @param value the value, or null for none
   */
  record Content(long version, Object value) {

    /** Base of a receiver to which nothing was sent yet. */
    static final Content EMPTY = new Content(0, null);

    private boolean isSame(Content other) {
      return version == other.version && value == other.value;
    }
  }

  private record CachedFrame(Content from, Content to, FencingNumber fencing, byte[] body) {

    boolean matches(Content wantedFrom, Content wantedTo, FencingNumber wantedFencing) {
      return from.isSame(wantedFrom) && to.isSame(wantedTo) && fencing.equals(wantedFencing);
    }
  }

  private final Deque<CachedFrame> cachedFrames = new ArrayDeque<>();

  /**
   * Returns the body of a frame from the cache, or encodes and caches it.
   *
   * @param from the value that the receiver holds
   * @param to the value that the frame carries to it
   * @param fencing fencing number of the leader that sends it
   * @param encoder encodes the frame if it isn't cached
   */
  synchronized byte[] getOrEncode(
      Content from, Content to, FencingNumber fencing, Supplier<byte[]> encoder) {
    for (CachedFrame each : cachedFrames) {
      if (each.matches(from, to, fencing)) {
        return each.body();
      }
    }
    byte[] body = encoder.get();
    if (cachedFrames.size() == KEPT) {
      cachedFrames.removeLast();
    }
    cachedFrames.addFirst(new CachedFrame(from, to, fencing, body));
    return body;
  }
}
