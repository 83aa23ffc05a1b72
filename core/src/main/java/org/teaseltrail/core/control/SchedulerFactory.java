package org.teaseltrail.core.control;

import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.schedule.Scheduler;

/** Creates the scheduler of a pool for one leadership. */
@FunctionalInterface
public interface SchedulerFactory {

  /**
   * Creates a scheduler without any requests.
   *
   * @param pool the pool
   * @param fencing the leadership under which it grants
   * @param seed seed of its random numbers
   */
  Scheduler create(PoolId pool, FencingNumber fencing, long seed);
}
