package org.teaseltrail.load.policy;

import java.util.List;

/** Is what goes wrong in a run. */
public enum Fault {
  /** Nothing. */
  NONE {
    @Override
    void plan(VirtualTime time, Scenario scenario, List<EngineNode> engines) {}
  },
  /** The first engine's steps take five times as long from a third of the measured time on. */
  STRAGGLER {
    @Override
    void plan(VirtualTime time, Scenario scenario, List<EngineNode> engines) {
      time.at(scenario.thirdNs(), () -> engines.get(0).straggle(STRAGGLER_FACTOR));
    }
  },
  /** The second engine dies in the middle of the measured time and is back, empty, after 20 s. */
  CRASH {
    @Override
    void plan(VirtualTime time, Scenario scenario, List<EngineNode> engines) {
      time.at(scenario.middleNs(), engines.get(1)::crash);
      time.at(scenario.middleNs() + DOWN_NS, engines.get(1)::restart);
    }
  },
  /** The second engine announces in the middle that it leaves, and finishes what it has. */
  LEAVING {
    @Override
    void plan(VirtualTime time, Scenario scenario, List<EngineNode> engines) {
      time.at(scenario.middleNs(), engines.get(1)::leave);
    }
  },
  /** Three times the load for a tenth of the measured time, by the scenario's plan. */
  BURST {
    @Override
    void plan(VirtualTime time, Scenario scenario, List<EngineNode> engines) {}
  },
  /** A straggler, and an engine that leaves. */
  STRAGGLER_AND_LEAVING {
    @Override
    void plan(VirtualTime time, Scenario scenario, List<EngineNode> engines) {
      STRAGGLER.plan(time, scenario, engines);
      LEAVING.plan(time, scenario, engines);
    }
  };

  private static final double STRAGGLER_FACTOR = 5;
  private static final long DOWN_NS = 20_000_000_000L;

  /** Plans the fault's events. */
  abstract void plan(VirtualTime time, Scenario scenario, List<EngineNode> engines);
}
