package org.teaseltrail.load.policy.baseline;

import org.teaseltrail.core.schedule.Scheduler;

/**
 * Baseline policy that the pool scheduler is compared with; creates the baseline's instance for one
 * VM.
 */
public enum Baseline {
  /** Round robin over the upstreams. */
  ROUND_ROBIN {
    @Override
    public Scheduler create(int vmCount, int maxWaitingInFleet, long seed) {
      return new ImmediateDispatchScheduler(UpstreamSelector.ROUND_ROBIN, seed);
    }
  },
  /** Selects the upstream with the least load in its last announcement. */
  LEAST_LOADED {
    @Override
    public Scheduler create(int vmCount, int maxWaitingInFleet, long seed) {
      return new ImmediateDispatchScheduler(UpstreamSelector.LEAST_LOADED, seed);
    }
  },
  /** Selects the less loaded of two randomly chosen upstreams, by their last announcements. */
  POWER_OF_TWO {
    @Override
    public Scheduler create(int vmCount, int maxWaitingInFleet, long seed) {
      return new ImmediateDispatchScheduler(UpstreamSelector.POWER_OF_TWO, seed);
    }
  },
  /** Keeps a priority queue on each VM. */
  VM_QUEUE {
    @Override
    public Scheduler create(int vmCount, int maxWaitingInFleet, long seed) {
      return new VmPriorityQueueScheduler(vmCount, maxWaitingInFleet);
    }
  };

  /**
   * Creates the instance that runs on one VM.
   *
   * @param vmCount number of entry VMs
   * @param maxWaitingInFleet maximum number of requests that wait on all VMs together, if the
   *     baseline queues requests
   * @param seed seed of random choices
   */
  public abstract Scheduler create(int vmCount, int maxWaitingInFleet, long seed);
}
