package org.teaseltrail.wire.http;

import io.netty.buffer.ByteBuf;

/** Counts the bytes and lines that a decoder has taken and made no message of yet. */
final class UndecodedBytes {

  private static final byte LINE_END = '\n';
  private static final byte CARRIAGE_RETURN = '\r';

  private int textBytes;
  private int lines;

  /** Starts anew, since a message was made of what was taken. */
  void clear() {
    textBytes = 0;
    lines = 0;
  }

  /**
   * Counts taken bytes.
   *
   * @param in the buffer that holds them, which isn't changed
   * @param from index of the first byte
   * @param to index behind the last byte
   */
  void add(ByteBuf in, int from, int to) {
    for (int i = from; i < to; i++) {
      byte next = in.getByte(i);
      if (next == LINE_END) {
        lines++;
      } else if (next != CARRIAGE_RETURN) {
        textBytes++;
      }
    }
  }

  /** Returns the bytes without those of line ends, which may stand between two answers. */
  int textBytes() {
    return textBytes;
  }

  int lines() {
    return lines;
  }
}
