package org.teaseltrail.core.schedule;

import java.util.List;
import java.util.OptionalLong;

/**
 * Decides for one pool which request is served next, by which upstream, and which is refused. The
 * scheduler is sans-I/O: it has no clock, thread or socket. The caller passes in events and the
 * monotonic time, and executes the returned actions in order.
 */
public interface Scheduler {

  /**
   * Handles an event.
   *
   * @param event the event
   * @param nowNs monotonic time in nanoseconds, never less than in the previous call
   * @return the actions to execute, in order
   */
  List<SchedulerAction> handle(SchedulerEvent event, long nowNs);

  /**
   * Returns when the scheduler needs the next tick if no other event occurs before.
   *
   * @return monotonic time in nanoseconds, or empty if no tick is needed
   */
  OptionalLong nextWakeupNs();
}
