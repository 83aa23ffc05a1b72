package org.teaseltrail.core.control;

import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.schedule.Scheduler;

/** Makes the scheduler of a pool for one leadership. */
@FunctionalInterface
public interface SchedulerFactory {

  /**
   * Makes a scheduler that knows nothing yet.
   *
   * @param pool the pool
   * @param fencing the leadership it grants under
   * @param seed seeds what it draws by chance
   */
  Scheduler create(PoolId pool, FencingNumber fencing, long seed);
}
