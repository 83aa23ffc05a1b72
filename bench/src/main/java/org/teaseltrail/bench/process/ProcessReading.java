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
 * Is what a process had used at one moment, as the kernel counts it.
 *
 * @param threads its threads, by id
 * @param processorMs processor time in all, also of threads that have ended, in milliseconds
 * @param calls reads and writes of files and sockets
 * @param peakMemoryKb memory at its peak, in KiB
 */
record ProcessReading(
    Map<String, ThreadReading> threads, double processorMs, long calls, long peakMemoryKb) {

  static final ProcessReading START = new ProcessReading(Map.of(), 0, 0, 0);

  /** The kernel tells a process's whole time in hundredths of a second. */
  private static final double MS_PER_TICK = 10;

  /** Place of the user's time behind the name in {@code /proc/PID/stat}; the system's follows. */
  private static final int USER_TIME = 11;

  private static final ThreadReading NO_THREAD = new ThreadReading(ThreadKind.OTHER, 0, 0);

  /** Reads the counts of a process; threads that end meanwhile are left out. */
  static ProcessReading of(long pid) throws IOException {
    Path folder = Path.of("/proc", Long.toString(pid));
    Map<String, ThreadReading> threads = new HashMap<>();
    try (Stream<Path> listed = Files.list(folder.resolve("task"))) {
      for (Path thread : listed.toList()) {
        add(thread, threads);
      }
    }
    String stat = Files.readString(folder.resolve("stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    double ticks = Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[USER_TIME + 1]);
    List<String> io = Files.readAllLines(folder.resolve("io"));
    List<String> status = Files.readAllLines(folder.resolve("status"));
    return new ProcessReading(
        threads,
        ticks * MS_PER_TICK,
        ProcFile.number(io, "syscr:") + ProcFile.number(io, "syscw:"),
        ProcFile.number(status, "VmHWM:"));
  }

  private static void add(Path thread, Map<String, ThreadReading> threads) throws IOException {
    try {
      threads.put(thread.getFileName().toString(), ThreadReading.of(thread));
    } catch (NoSuchFileException e) {
      // The thread has ended since the folder was listed; its time is in the process's.
      threads.remove(thread.getFileName().toString());
    }
  }

  /** Returns what was used between an earlier reading and this one. */
  ProcessUse since(ProcessReading earlier) {
    Map<ThreadKind, Double> byKind = new EnumMap<>(ThreadKind.class);
    long wakeups = 0;
    double seenMs = 0;
    for (Map.Entry<String, ThreadReading> thread : threads.entrySet()) {
      ThreadReading before = earlier.threads.getOrDefault(thread.getKey(), NO_THREAD);
      ThreadReading used = thread.getValue().since(before);
      byKind.merge(used.kind(), used.processorMs(), Double::sum);
      wakeups += used.wakeups();
      seenMs += used.processorMs();
    }
    double allMs = processorMs - earlier.processorMs;
    byKind.put(ThreadKind.ENDED, Math.max(0, allMs - seenMs));
    return new ProcessUse(
        Math.max(allMs, seenMs), byKind, wakeups, calls - earlier.calls, peakMemoryKb);
  }
}
