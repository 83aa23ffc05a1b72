package org.teaseltrail.standin.model;

import java.util.List;
import java.util.OptionalLong;

/**
 * Deterministic model of an upstream, without clock, thread or socket.
 *
 * @param <E> type of its events
 * @param <A> type of its actions
 */
public interface UpstreamModel<E, A> {

  /**
   * Processes an event.
   *
   * @param event the event
   * @param atNs monotonic time in nanoseconds, never less than in the previous call
   * @return the upstream's actions, in order
   */
  List<A> handle(E event, long atNs);

  /**
   * Returns when the upstream needs the next tick if no other event arrives.
   *
   * @return monotonic time in nanoseconds, or empty if the upstream is down
   */
  OptionalLong nextWakeupNs();

  /**
   * Returns whether no request is queued or running.
   *
   * @return whether it is idle
   */
  boolean isIdle();
}
