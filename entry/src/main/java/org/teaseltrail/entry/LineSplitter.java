package org.teaseltrail.entry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits a byte stream into lines. A last line without a line feed is dropped as incomplete. */
final class LineSplitter {

  /** Maximum length of a buffered line; a frame carries only a few tokens. */
  static final int MAX_LINE_BYTES = 1024 * 1024;

  private final ByteArrayOutputStream incompleteLine = new ByteArrayOutputStream();

  /** Adds bytes to the stream and returns the lines that they complete. */
  List<String> split(byte[] bytes) {
    List<String> lines = new ArrayList<>();
    int from = 0;
    for (int byteIndex = 0; byteIndex < bytes.length; byteIndex++) {
      if (bytes[byteIndex] == '\n') {
        incompleteLine.write(bytes, from, byteIndex - from);
        addLine(lines);
        from = byteIndex + 1;
      }
    }
    incompleteLine.write(bytes, from, bytes.length - from);
    if (incompleteLine.size() > MAX_LINE_BYTES) {
      throw new MalformedFrameException("a line exceeds the maximum length");
    }
    return lines;
  }

  private void addLine(List<String> lines) {
    String line = incompleteLine.toString(StandardCharsets.UTF_8).strip();
    incompleteLine.reset();
    if (!line.isEmpty()) {
      lines.add(line);
    }
  }
}
