package org.teaseltrail.forward;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Delays the reads of long streams to common points in time, so that one wake-up, one read and one
 * write handle several events.
 *
 * <p>This keeps the latency of first events low: a small VM spends most of its CPU time on
 * forwarding events, and the time saved is available to new requests. No event waits longer than
 * the maximum delay, and no response takes longer by more than a small fraction of its duration.
 */
final class ReadCoalescer {

  private static final long NS_PER_MS = 1_000_000L;

  /** Minimum age of a delayed stream, as a multiple of the maximum delay. */
  private static final int MIN_AGE_FACTOR = 8;

  private final EventLoop loop;
  private final long maxDelayNs;
  private List<UpstreamConnection> held = new ArrayList<>();
  private boolean scheduled;

  /**
   * Creates an instance for the connections of one event loop.
   *
   * @param loop event loop of the connections
   * @param maxDelayMs maximum time for which an event may wait, in milliseconds; 0 disables delays
   */
  ReadCoalescer(EventLoop loop, long maxDelayMs) {
    this.loop = loop;
    maxDelayNs = maxDelayMs * NS_PER_MS;
  }

  /** Pauses reading from a connection until the next common read, if its stream is old enough. */
  void hold(UpstreamConnection connection, long streamAgeNs) {
    if (maxDelayNs == 0 || streamAgeNs < maxDelayNs * MIN_AGE_FACTOR) {
      return;
    }
    connection.hold(true);
    held.add(connection);
    if (!scheduled) {
      scheduled = true;
      long untilNextReadNs = maxDelayNs - Math.floorMod(System.nanoTime(), maxDelayNs);
      loop.schedule(this::resumeAll, untilNextReadNs, TimeUnit.NANOSECONDS);
    }
  }

  private void resumeAll() {
    scheduled = false;
    List<UpstreamConnection> resumed = held;
    held = new ArrayList<>();
    resumed.forEach(connection -> connection.hold(false));
  }
}
