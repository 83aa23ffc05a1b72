package org.teaseltrail.wire;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Format of frames that carry a delta to an earlier message on the same connection. */
final class DeltaFrame {

  /** First byte of a delta frame; the only byte that MessagePack never uses. */
  private static final byte DELTA_MARKER = (byte) 0xc1;

  private DeltaFrame() {}

  /** Returns the frame body for an encoded delta. */
  static byte[] wrap(byte[] delta) {
    return ByteBuffer.allocate(1 + delta.length).put(DELTA_MARKER).put(delta).array();
  }

  static boolean isDelta(byte[] body) {
    return body.length > 0 && body[0] == DELTA_MARKER;
  }

  /** Returns the encoded delta in the body of a delta frame. */
  static byte[] unwrap(byte[] body) {
    return Arrays.copyOfRange(body, 1, body.length);
  }
}
