package org.teaseltrail.runtime.settings;

import java.io.IOException;
import java.io.Reader;
import java.util.List;

/**
 * Hands out one line a read, and counts them.
 *
 * <p>ini4j buffers what it reads and does not tell its handlers the line. Since each read here ends
 * at a line's end, its buffer never holds more than the line that it parses, so the count is that
 * line's number.
 */
final class LineReader extends Reader {

  private final List<String> lines;
  private int lineNumber;
  private String current = "";
  private int position;

  LineReader(List<String> lines) {
    this.lines = lines;
  }

  /** Returns the number of the line handed out last, counted from one. */
  int lineNumber() {
    return lineNumber;
  }

  @Override
  public int read(char[] buffer, int offset, int length) throws IOException {
    if (position == current.length()) {
      if (lineNumber == lines.size()) {
        return -1;
      }
      current = lines.get(lineNumber) + "\n";
      position = 0;
      lineNumber++;
    }
    int count = Math.min(length, current.length() - position);
    current.getChars(position, position + count, buffer, offset);
    position += count;
    return count;
  }

  @Override
  public void close() {
    position = current.length();
  }
}
