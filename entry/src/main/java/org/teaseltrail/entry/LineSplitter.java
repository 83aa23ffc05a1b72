package org.teaseltrail.entry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Cuts a stream of bytes into lines. A last line without its end is dropped as not whole. */
final class LineSplitter {

  /** Longest line that is held; a frame carries a few tokens. */
  static final int MAX_LINE_BYTES = 1024 * 1024;

  private final ByteArrayOutputStream rest = new ByteArrayOutputStream();

  /** Returns the lines that the bytes complete. */
  List<String> split(byte[] bytes) {
    List<String> lines = new ArrayList<>();
    int from = 0;
    for (int at = 0; at < bytes.length; at++) {
      if (bytes[at] == '\n') {
        rest.write(bytes, from, at - from);
        addLine(lines);
        from = at + 1;
      }
    }
    rest.write(bytes, from, bytes.length - from);
    if (rest.size() > MAX_LINE_BYTES) {
      throw new MalformedFrameException("a line is too long");
    }
    return lines;
  }

  private void addLine(List<String> lines) {
    String line = rest.toString(StandardCharsets.UTF_8).strip();
    rest.reset();
    if (!line.isEmpty()) {
      lines.add(line);
    }
  }
}
