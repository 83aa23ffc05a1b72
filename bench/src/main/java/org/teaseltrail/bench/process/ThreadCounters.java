package org.teaseltrail.bench.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Resource counters of one thread at one moment.
 *
 * @param kind kind of the thread
 * @param processorMs processor time, in milliseconds
 * @param wakeups number of voluntary context switches
 */
record ThreadCounters(ThreadKind kind, double processorMs, long wakeups) {

  private static final double NS_PER_MS = 1e6;

  /** Reads the counters of a thread from its directory under {@code /proc}. */
  static ThreadCounters of(Path folder) throws IOException {
    String name = Files.readString(folder.resolve("comm")).trim();
    String[] times = Files.readString(folder.resolve("schedstat")).trim().split(" ");
    long wakeups =
        ProcFile.number(Files.readAllLines(folder.resolve("status")), "voluntary_ctxt_switches:");
    return new ThreadCounters(ThreadKind.of(name), Long.parseLong(times[0]) / NS_PER_MS, wakeups);
  }

  ThreadCounters since(ThreadCounters earlier) {
    return new ThreadCounters(kind, processorMs - earlier.processorMs, wakeups - earlier.wakeups);
  }
}
