package org.teaseltrail.runtime.settings;

import java.io.IOException;
import java.io.Reader;
import java.util.List;

/**
 * Reader that returns at most one line per read and counts the lines.
 *
 * <p>ini4j buffers its input and doesn't pass line numbers to its handlers. Since each read ends at
 * the end of a line, the buffer of ini4j never holds more than the line being parsed, so the count
 * is the number of that line.
 */
final class LineByLineReader extends Reader {

  private final List<String> lines;
  private int lineNumber;
  private String currentLine = "";
  private int position;

  LineByLineReader(List<String> lines) {
    this.lines = lines;
  }

  /** Returns the number of the line returned last, counted from one. */
  int lineNumber() {
    return lineNumber;
  }

  @Override
  public int read(char[] buffer, int offset, int length) throws IOException {
    if (position == currentLine.length()) {
      if (lineNumber == lines.size()) {
        return -1;
      }
      currentLine = lines.get(lineNumber) + "\n";
      position = 0;
      lineNumber++;
    }
    int count = Math.min(length, currentLine.length() - position);
    currentLine.getChars(position, position + count, buffer, offset);
    position += count;
    return count;
  }

  @Override
  public void close() {
    position = currentLine.length();
  }
}
