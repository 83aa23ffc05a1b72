package org.teaseltrail.bench.control;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.teaseltrail.core.replication.ReplicaEvent;

/** Measures the throughput and latency of claims by the number of claims in flight. */
final class ClaimBench {

  private static final int[] WINDOWS = {1, 10, 100, 1_000};
  private static final long WARM_UP_MS = 3_000;
  private static final int ACQUIRE_TIMEOUT_S = 5;
  private static final long RUN_MS = 5_000;

  private final Map<Long, Long> startedNs = new ConcurrentHashMap<>();
  private final Histogram latencyUs = new ConcurrentHistogram(60_000_000L, 3);
  private final AtomicLong committedCount = new AtomicLong();
  private volatile Semaphore inFlightPermits = new Semaphore(0);
  private long lastId;

  void run(Path folder, int members, PrintStream out) throws IOException {
    out.println("members,at_once,claims_per_s,p50_ms,p99_ms,max_ms");
    try (BenchGroup group = new BenchGroup(folder, members, this::committed)) {
      load(group.leader(), 100, WARM_UP_MS);
      for (int window : WINDOWS) {
        latencyUs.reset();
        committedCount.set(0);
        long elapsedNs = load(group.leader(), window, RUN_MS);
        if (!group.leader().isLeading()) {
          out.printf("%d,%d,leadership lost under load: not measured%n", members, window);
          return;
        }
        out.printf(
            "%d,%d,%.0f,%.2f,%.2f,%.2f%n",
            members,
            window,
            committedCount.get() * 1e9 / elapsedNs,
            latencyUs.getValueAtPercentile(50) / 1e3,
            latencyUs.getValueAtPercentile(99) / 1e3,
            latencyUs.getMaxValue() / 1e3);
      }
    }
  }

  private long load(BenchNode leader, int window, long runMs) {
    inFlightPermits = new Semaphore(window);
    long beginNs = System.nanoTime();
    while (System.nanoTime() - beginNs < runMs * 1_000_000L) {
      if (!acquire(1)) {
        break;
      }
      long id = ++lastId;
      byte[] command = leader.codec().encodeCommand(SampleStateFactory.openClaim(id));
      startedNs.put(id, System.nanoTime());
      leader.post(new ReplicaEvent.Propose(id, command));
    }
    acquire(window);
    return System.nanoTime() - beginNs;
  }

  /**
   * Acquires permits with a timeout, since proposals in flight when leadership is lost never commit
   * here.
   */
  private boolean acquire(int permits) {
    try {
      return inFlightPermits.tryAcquire(permits, ACQUIRE_TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private void committed(long id) {
    Long started = startedNs.remove(id);
    if (started != null) {
      latencyUs.recordValue((System.nanoTime() - started) / 1_000);
      committedCount.incrementAndGet();
      inFlightPermits.release();
    }
  }
}
