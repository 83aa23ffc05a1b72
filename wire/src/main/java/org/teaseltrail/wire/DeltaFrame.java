package org.teaseltrail.wire;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Marks the frames that tell only what differs from the message before on their connection. */
final class DeltaFrame {

  /** The one byte that MessagePack never uses. */
  private static final byte MARK = (byte) 0xc1;

  private DeltaFrame() {}

  /** Returns the body of the frame of a delta. */
  static byte[] of(byte[] delta) {
    return ByteBuffer.allocate(1 + delta.length).put(MARK).put(delta).array();
  }

  static boolean isMarked(byte[] body) {
    return body.length > 0 && body[0] == MARK;
  }

  /** Returns the delta that a marked body holds. */
  static byte[] content(byte[] body) {
    return Arrays.copyOfRange(body, 1, body.length);
  }
}
