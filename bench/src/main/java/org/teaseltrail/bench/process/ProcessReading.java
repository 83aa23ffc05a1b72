package org.teaseltrail.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Is what a process had used at one moment, as the kernel counts it.
 *
 * @param processorMs processor time by kind of thread, in milliseconds
 * @param wakeups times that a thread was put back to work after it had waited
 * @param calls reads and writes of files and sockets
 * @param peakMemoryKb memory at its peak, in KiB
 */
record ProcessReading(
    Map<ThreadKind, Double> processorMs, long wakeups, long calls, long peakMemoryKb) {

  private static final double NS_PER_MS = 1e6;

  /** Reads the counts of a process; threads that end meanwhile are left out. */
  static ProcessReading of(long pid) throws IOException {
    Path folder = Path.of("/proc", Long.toString(pid));
    Map<ThreadKind, Double> processorMs = new EnumMap<>(ThreadKind.class);
    long wakeups = 0;
    try (Stream<Path> threads = Files.list(folder.resolve("task"))) {
      for (Path thread : threads.toList()) {
        wakeups += addThread(thread, processorMs);
      }
    }
    List<String> io = Files.readAllLines(folder.resolve("io"));
    long calls = number(io, "syscr:") + number(io, "syscw:");
    List<String> status = Files.readAllLines(folder.resolve("status"));
    return new ProcessReading(processorMs, wakeups, calls, number(status, "VmHWM:"));
  }

  private static long addThread(Path thread, Map<ThreadKind, Double> processorMs) {
    try {
      String name = Files.readString(thread.resolve("comm")).trim();
      String[] times = Files.readString(thread.resolve("schedstat")).trim().split(" ");
      double usedMs = Long.parseLong(times[0]) / NS_PER_MS;
      processorMs.merge(ThreadKind.of(name), usedMs, Double::sum);
      return number(Files.readAllLines(thread.resolve("status")), "voluntary_ctxt_switches:");
    } catch (NoSuchFileException e) {
      // The thread has ended since the folder was listed.
      return 0;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static long number(List<String> lines, String name) {
    return lines.stream()
        .filter(line -> line.startsWith(name))
        .map(line -> line.replaceAll("[^0-9]", ""))
        .mapToLong(Long::parseLong)
        .findFirst()
        .orElse(0);
  }

  double totalMs() {
    return processorMs.values().stream().mapToDouble(Double::doubleValue).sum();
  }

  /** Returns what was used between an earlier reading and this one; the peak stays as it is. */
  ProcessReading since(ProcessReading earlier) {
    Map<ThreadKind, Double> used = new EnumMap<>(ThreadKind.class);
    processorMs.forEach(
        (kind, ms) ->
            used.put(kind, Math.max(0, ms - earlier.processorMs.getOrDefault(kind, 0.0))));
    return new ProcessReading(used, wakeups - earlier.wakeups, calls - earlier.calls, peakMemoryKb);
  }
}
