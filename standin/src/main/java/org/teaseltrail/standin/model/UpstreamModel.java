package org.teaseltrail.standin.model;

import java.util.List;
import java.util.OptionalLong;

/**
 * Is a deterministic model of an upstream. Holds no clock, no thread and no socket.
 *
 * @param <E> what happens to it
 * @param <A> what it does
 */
public interface UpstreamModel<E, A> {

  /**
   * Takes an event.
   *
   * @param event what has happened
   * @param atNs monotonic time in nanoseconds, never less than at the call before
   * @return what the upstream does, in order
   */
  List<A> handle(E event, long atNs);

  /**
   * Returns when the upstream next wants a tick if nothing else happens.
   *
   * @return monotonic time in nanoseconds, or empty if the upstream is down
   */
  OptionalLong nextWakeupNs();

  /**
   * Returns whether nothing waits or runs.
   *
   * @return whether it is idle
   */
  boolean isIdle();
}
