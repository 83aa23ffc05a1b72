package org.teaseltrail.load.policy;

import java.util.List;

/** Fault that is injected into a run. */
public enum Fault {
  /** No fault. */
  NONE {
    @Override
    void plan(VirtualTimeExecutor time, Scenario scenario, List<EngineSimulator> engines) {}
  },
  /**
   * The steps of the first engine take five times as long after the first third of the measurement
   * interval.
   */
  STRAGGLER {
    @Override
    void plan(VirtualTimeExecutor time, Scenario scenario, List<EngineSimulator> engines) {
      time.scheduleAt(scenario.measuredThirdNs(), () -> engines.get(0).slowDown(STRAGGLER_FACTOR));
    }
  },
  /**
   * The second engine crashes in the middle of the measurement interval and restarts with an empty
   * cache after 20 s.
   */
  CRASH {
    @Override
    void plan(VirtualTimeExecutor time, Scenario scenario, List<EngineSimulator> engines) {
      time.scheduleAt(scenario.measuredMiddleNs(), engines.get(1)::crash);
      time.scheduleAt(scenario.measuredMiddleNs() + DOWN_NS, engines.get(1)::restart);
    }
  },
  /**
   * The second engine announces in the middle of the measurement interval that it is leaving, and
   * finishes the requests that it has accepted.
   */
  LEAVING {
    @Override
    void plan(VirtualTimeExecutor time, Scenario scenario, List<EngineSimulator> engines) {
      time.scheduleAt(scenario.measuredMiddleNs(), engines.get(1)::leave);
    }
  },
  /**
   * Three times the load for a tenth of the measurement interval; {@link Scenario} plans the
   * additional requests.
   */
  BURST {
    @Override
    void plan(VirtualTimeExecutor time, Scenario scenario, List<EngineSimulator> engines) {}
  },
  /** Combines {@link #STRAGGLER} and {@link #LEAVING}. */
  STRAGGLER_AND_LEAVING {
    @Override
    void plan(VirtualTimeExecutor time, Scenario scenario, List<EngineSimulator> engines) {
      STRAGGLER.plan(time, scenario, engines);
      LEAVING.plan(time, scenario, engines);
    }
  };

  private static final double STRAGGLER_FACTOR = 5;
  private static final long DOWN_NS = 20_000_000_000L;

  /** Schedules the events of the fault. */
  abstract void plan(VirtualTimeExecutor time, Scenario scenario, List<EngineSimulator> engines);
}
