package org.teaseltrail.bench.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Resource counters of a process at one moment, as counted by the kernel.
 *
 * @param threads counters of its threads, by thread id
 * @param processorMs total processor time, including threads that have ended, in milliseconds
 * @param calls number of read and write system calls on files and sockets
 * @param peakMemoryKb peak resident memory, in KiB
 */
record ProcessCounters(
    Map<String, ThreadCounters> threads, double processorMs, long calls, long peakMemoryKb) {

  static final ProcessCounters START = new ProcessCounters(Map.of(), 0, 0, 0);

  /** The kernel reports the processor time of a process in hundredths of a second. */
  private static final double MS_PER_TICK = 10;

  /**
   * Index of the user time among the fields after the command name in {@code /proc/PID/stat}; the
   * system time follows it.
   */
  private static final int USER_TIME_FIELD = 11;

  private static final ThreadCounters NO_THREAD = new ThreadCounters(ThreadKind.OTHER, 0, 0);

  /** Reads the counters of a process, without threads that end while it reads. */
  static ProcessCounters of(long pid) throws IOException {
    Path folder = Path.of("/proc", Long.toString(pid));
    Map<String, ThreadCounters> threads = new HashMap<>();
    try (Stream<Path> listed = Files.list(folder.resolve("task"))) {
      for (Path thread : listed.toList()) {
        add(thread, threads);
      }
    }
    String stat = Files.readString(folder.resolve("stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    double ticks =
        Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[USER_TIME_FIELD + 1]);
    List<String> io = Files.readAllLines(folder.resolve("io"));
    List<String> status = Files.readAllLines(folder.resolve("status"));
    return new ProcessCounters(
        threads,
        ticks * MS_PER_TICK,
        ProcFile.number(io, "syscr:") + ProcFile.number(io, "syscw:"),
        ProcFile.number(status, "VmHWM:"));
  }

  private static void add(Path thread, Map<String, ThreadCounters> threads) throws IOException {
    try {
      threads.put(thread.getFileName().toString(), ThreadCounters.of(thread));
    } catch (NoSuchFileException e) {
      // The thread has ended since the directory was listed; the process's time includes its time.
      threads.remove(thread.getFileName().toString());
    }
  }

  /** Returns the usage between the earlier counters and these. */
  ProcessUsage since(ProcessCounters earlier) {
    Map<ThreadKind, Double> byKind = new EnumMap<>(ThreadKind.class);
    long wakeups = 0;
    double threadsMs = 0;
    for (Map.Entry<String, ThreadCounters> thread : threads.entrySet()) {
      ThreadCounters before = earlier.threads.getOrDefault(thread.getKey(), NO_THREAD);
      ThreadCounters used = thread.getValue().since(before);
      byKind.merge(used.kind(), used.processorMs(), Double::sum);
      wakeups += used.wakeups();
      threadsMs += used.processorMs();
    }
    double totalMs = processorMs - earlier.processorMs;
    byKind.put(ThreadKind.ENDED, Math.max(0, totalMs - threadsMs));
    return new ProcessUsage(
        Math.max(totalMs, threadsMs), byKind, wakeups, calls - earlier.calls, peakMemoryKb);
  }
}
