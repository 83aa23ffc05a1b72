package org.teaseltrail.bench.process;

import java.util.List;

/** Reads numbers from the files that the kernel keeps of a process. */
final class ProcFile {

  private ProcFile() {}

  /** Returns the number of the line that begins with a name, 0 if there is none. */
  static long number(List<String> lines, String name) {
    return lines.stream()
        .filter(line -> line.startsWith(name))
        .map(line -> line.replaceAll("[^0-9]", ""))
        .mapToLong(Long::parseLong)
        .findFirst()
        .orElse(0);
  }
}
