package org.teaseltrail.bench.process;

import java.util.Arrays;
import java.util.List;

/**
 * Kinds of threads of a JVM, recognised by their name prefixes. The kernel truncates thread names
 * to 15 characters.
 */
enum ThreadKind {
  /** Thread that starts the program and waits for its end. */
  MAIN(List.of("java", "main")),
  /** Event loop threads that serve connections. */
  EVENT_LOOP(List.of("entry-", "multiThread", "reactor-", "parallel-")),
  /** JIT compiler threads. */
  COMPILER(List.of("C1 Compiler", "C2 Compiler")),
  /** Garbage collector threads and the thread that runs VM operations. */
  COLLECTOR(List.of("VM Thread", "GC ", "G1 ")),
  /** Thread that writes the log. */
  LOG(List.of("event-log")),
  /** All other threads. */
  OTHER(List.of()),
  /** Threads that have ended since the phase began; the JVM stops idle compiler threads. */
  ENDED(List.of());

  private final List<String> prefixes;

  ThreadKind(List<String> prefixes) {
    this.prefixes = prefixes;
  }

  /** Returns the kind of the thread with the given name. */
  static ThreadKind of(String threadName) {
    return Arrays.stream(values())
        .filter(kind -> kind.prefixes.stream().anyMatch(threadName::startsWith))
        .findFirst()
        .orElse(OTHER);
  }
}
