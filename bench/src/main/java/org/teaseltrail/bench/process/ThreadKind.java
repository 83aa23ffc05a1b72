package org.teaseltrail.bench.process;

import java.util.Arrays;
import java.util.List;

/** Groups the threads of a JVM by what they do; the kernel cuts names after 15 characters. */
enum ThreadKind {
  /** Starts the program and waits for its end. */
  MAIN(List.of("java", "main")),
  /** Carries connections. */
  EVENT_LOOP(List.of("entry-", "multiThread", "reactor-", "parallel-")),
  /** Compiles methods. */
  COMPILER(List.of("C1 Compiler", "C2 Compiler")),
  /** Collects garbage and runs the JVM's own operations. */
  COLLECTOR(List.of("VM Thread", "GC ", "G1 ")),
  /** Writes log lines. */
  LOG(List.of("event-log")),
  /** Whatever is none of these. */
  OTHER(List.of()),
  /** Have ended since the phase began; the JVM ends compilers that it doesn't need. */
  ENDED(List.of());

  private final List<String> prefixes;

  ThreadKind(List<String> prefixes) {
    this.prefixes = prefixes;
  }

  /** Returns the kind of a thread. */
  static ThreadKind of(String threadName) {
    return Arrays.stream(values())
        .filter(kind -> kind.prefixes.stream().anyMatch(threadName::startsWith))
        .findFirst()
        .orElse(OTHER);
  }
}
