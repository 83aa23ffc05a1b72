package org.teaseltrail.load.policy.baseline;

import org.teaseltrail.core.schedule.Scheduler;

/** Names a baseline and makes one VM's part of it. */
public enum Baseline {
  /** Each upstream in turn. */
  ROUND_ROBIN {
    @Override
    public Scheduler create(int vmCount, int maxWaitingInFleet, long seed) {
      return new ImmediateDispatch(UpstreamChoice.ROUND_ROBIN, seed);
    }
  },
  /** The upstream that last reported the least load. */
  LEAST_LOADED {
    @Override
    public Scheduler create(int vmCount, int maxWaitingInFleet, long seed) {
      return new ImmediateDispatch(UpstreamChoice.LEAST_LOADED, seed);
    }
  },
  /** The less loaded of two drawn upstreams, by their last reports. */
  POWER_OF_TWO {
    @Override
    public Scheduler create(int vmCount, int maxWaitingInFleet, long seed) {
      return new ImmediateDispatch(UpstreamChoice.POWER_OF_TWO, seed);
    }
  },
  /** A priority queue on each VM. */
  VM_QUEUE {
    @Override
    public Scheduler create(int vmCount, int maxWaitingInFleet, long seed) {
      return new VmPriorityQueue(vmCount, maxWaitingInFleet);
    }
  };

  /**
   * Makes the part that one VM runs.
   *
   * @param vmCount how many VMs there are
   * @param maxWaitingInFleet requests that may wait on all VMs together, where it queues
   * @param seed of its draws
   */
  public abstract Scheduler create(int vmCount, int maxWaitingInFleet, long seed);
}
