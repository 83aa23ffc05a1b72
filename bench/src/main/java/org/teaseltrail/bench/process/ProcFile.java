package org.teaseltrail.bench.process;

import java.util.List;

/** Parses numbers from the files of a process under {@code /proc}. */
final class ProcFile {

  private ProcFile() {}

  /** Returns the number in the first line that begins with the name, or 0 if there is none. */
  static long number(List<String> lines, String name) {
    return lines.stream()
        .filter(line -> line.startsWith(name))
        .map(line -> line.replaceAll("[^0-9]", ""))
        .mapToLong(Long::parseLong)
        .findFirst()
        .orElse(0);
  }
}
