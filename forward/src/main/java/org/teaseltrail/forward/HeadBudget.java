package org.teaseltrail.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Budget of a process for the heads of requests in memory, with the bodies that are too small for
 * {@link BodyGate} to count. Used on the event loop only, except {@link #usedBytes}.
 *
 * <p>Guards against heads that together take more memory than the process has: short headers take
 * many times their bytes. Whoever finds no room is refused at once. Heads that aren't whole yet
 * give way first, the oldest before the others, so that requests which arrive whole don't stand
 * behind callers that send slowly.
 */
final class HeadBudget {

  /** Holds a head that isn't whole. */
  interface Holder {

    /** Gives the head up and releases what it holds. */
    void giveWay();
  }

  /** The objects that hold one header beside its bytes, also in the copy for an upstream. */
  static final int HEADER_BYTES = 200;

  private static final byte LINE_END = '\n';

  private final long capacityBytes;
  private final Set<Holder> halfHeads = new LinkedHashSet<>();
  private volatile long usedBytes;
  private Runnable onFull = () -> {};

  HeadBudget(long capacityBytes) {
    this.capacityBytes = capacityBytes;
  }

  /** Returns the memory that bytes take at most once they are decoded as headers, in bytes. */
  static long sizeBytes(ByteBuf received) {
    int lines = 0;
    int end = received.writerIndex();
    int next = received.indexOf(received.readerIndex(), end, LINE_END);
    while (next >= 0) {
      lines++;
      next = received.indexOf(next + 1, end, LINE_END);
    }
    return received.readableBytes() + (long) lines * HEADER_BYTES;
  }

  /** Returns the memory that headers take, in bytes. */
  static long sizeBytes(HttpHeaders headers) {
    long bytes = 0;
    var all = headers.iteratorCharSequence();
    while (all.hasNext()) {
      var header = all.next();
      bytes += HEADER_BYTES + header.getKey().length() + header.getValue().length();
    }
    return bytes;
  }

  /** Sets what is called each time that there is no room, or that half heads make it. */
  void setOnFull(Runnable action) {
    onFull = action;
  }

  /** Reserves a share for a request whose head is whole; returns false if there is no room. */
  boolean tryReserve(long bytes) {
    if (usedBytes + bytes > capacityBytes) {
      onFull.run();
    }
    while (usedBytes + bytes > capacityBytes && !halfHeads.isEmpty()) {
      Holder oldest = halfHeads.iterator().next();
      halfHeads.remove(oldest);
      oldest.giveWay();
    }
    boolean fits = usedBytes + bytes <= capacityBytes;
    usedBytes += fits ? bytes : 0;
    return fits;
  }

  /** Reserves a share for a part of a head; returns false if there is no room. */
  boolean tryReservePart(Holder holder, long bytes) {
    halfHeads.remove(holder);
    boolean fits = tryReserve(bytes);
    if (fits) {
      halfHeads.add(holder);
    }
    return fits;
  }

  /** Gives back what the parts of a head have taken. */
  void releaseParts(Holder holder, long bytes) {
    halfHeads.remove(holder);
    usedBytes -= bytes;
  }

  void release(long bytes) {
    usedBytes -= bytes;
  }

  long usedBytes() {
    return usedBytes;
  }
}
