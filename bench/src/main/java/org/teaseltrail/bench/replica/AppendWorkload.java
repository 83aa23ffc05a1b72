package org.teaseltrail.bench.replica;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.HdrHistogram.Histogram;
import org.teaseltrail.core.replication.EntryPayload;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.ReplicaEvent;

/** Keeps a fixed number of commands in flight on a leader and measures their latency to apply. */
final class AppendWorkload {

  private static final int SIGNIFICANT_DIGITS = 3;

  private final BenchMember leader;
  private final int commands;
  private final int commandBytes;
  private final Histogram latenciesNs = new Histogram(SIGNIFICANT_DIGITS);
  private final Map<Long, Long> sentNs = new HashMap<>();
  private final CountDownLatch done = new CountDownLatch(1);
  private long sent;
  private long applied;

  AppendWorkload(BenchMember leader, int commands, int commandBytes) {
    this.leader = leader;
    this.commands = commands;
    this.commandBytes = commandBytes;
  }

  /**
   * Runs the load.
   *
   * @param window maximum number of commands in flight
   * @return duration in seconds
   */
  double run(int window) throws InterruptedException {
    final long startNs = System.nanoTime();
    leader.listen(this::applied);
    synchronized (this) {
      for (int i = 0; i < Math.min(window, commands); i++) {
        propose();
      }
    }
    done.await();
    leader.listen(entry -> {});
    return (System.nanoTime() - startNs) / 1e9;
  }

  Histogram latenciesNs() {
    return latenciesNs;
  }

  /**
   * Records an applied command; the log keeps commands in the order in which they were proposed.
   */
  private synchronized void applied(LogEntry entry) {
    if (!(entry.payload() instanceof EntryPayload.CommandPayload)) {
      return;
    }
    latenciesNs.recordValue(System.nanoTime() - sentNs.remove(applied));
    applied++;
    if (sent < commands) {
      propose();
    }
    if (applied == commands) {
      done.countDown();
    }
  }

  private void propose() {
    sentNs.put(sent, System.nanoTime());
    leader.send(new ReplicaEvent.Propose(sent, new byte[commandBytes]));
    sent++;
  }
}
