package org.teaseltrail.core.schedule;

import java.util.List;
import java.util.OptionalLong;

/**
 * Decides for one pool who is served next, by which upstream, and who is refused. Holds no clock,
 * no thread and no socket: the caller passes events and the monotonic time, and carries out the
 * actions in their order.
 */
public interface Scheduler {

  /**
   * Takes an event.
   *
   * @param event what has happened
   * @param nowNs monotonic time in nanoseconds, never less than at the call before
   * @return what is to be done, in order
   */
  List<SchedulerAction> handle(SchedulerEvent event, long nowNs);

  /**
   * Returns when the scheduler next wants a tick if nothing else happens.
   *
   * @return monotonic time in nanoseconds, or empty if it waits for nothing
   */
  OptionalLong nextWakeupNs();
}
