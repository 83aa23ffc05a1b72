package org.teaseltrail.forward;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Lets the events of long streams gather before they are read, all of them at the same moments, so
 * that one wake-up, one read and one write carry several events.
 *
 * <p>Protects callers' first events: a small VM spends most of its processor on passing events on,
 * and what it saves there is there for new requests. No event waits longer than the hold, and no
 * answer lasts longer by more than a small part of its time.
 */
final class EventHold {

  private static final long NS_PER_MS = 1_000_000L;

  /** Part of its time so far by which a stream may be held. */
  private static final int PART_OF_AGE = 8;

  private final EventLoop loop;
  private final long holdNs;
  private List<UpstreamConnection> held = new ArrayList<>();
  private boolean armed;

  /**
   * Makes the hold.
   *
   * @param loop carries the connections
   * @param holdMs longest time for which an event may wait, in milliseconds; 0 for none
   */
  EventHold(EventLoop loop, long holdMs) {
    this.loop = loop;
    holdNs = holdMs * NS_PER_MS;
  }

  /**
   * Stops reading from a connection until the next moment of reading, if its stream has lasted long
   * enough for that.
   */
  void hold(UpstreamConnection connection, long streamAgeNs) {
    if (holdNs == 0 || streamAgeNs < holdNs * PART_OF_AGE) {
      return;
    }
    connection.hold(true);
    held.add(connection);
    if (!armed) {
      armed = true;
      long untilNextNs = holdNs - Math.floorMod(System.nanoTime(), holdNs);
      loop.schedule(this::readAll, untilNextNs, TimeUnit.NANOSECONDS);
    }
  }

  private void readAll() {
    armed = false;
    List<UpstreamConnection> now = held;
    held = new ArrayList<>();
    now.forEach(connection -> connection.hold(false));
  }
}
