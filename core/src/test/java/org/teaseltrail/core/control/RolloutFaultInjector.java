package org.teaseltrail.core.control;

import java.util.List;
import java.util.SplittableRandom;

/** Injects random faults during a rollout. */
final class RolloutFaultInjector {

  private static final int STEPS = 24;

  /** Fault that may be injected in a step. */
  private enum Fault {
    NONE {
      @Override
      void inject(RolloutSimulation run, SplittableRandom random) {}
    },
    UPSTREAM_CRASHES {
      @Override
      void inject(RolloutSimulation run, SplittableRandom random) {
        run.crashRandomEngine();
      }
    },
    CRASH_WAVE {
      @Override
      void inject(RolloutSimulation run, SplittableRandom random) {
        for (int i = 0; i < 6; i++) {
          run.crashRandomEngine();
        }
      }
    },
    LEADER_KILLED {
      @Override
      void inject(RolloutSimulation run, SplittableRandom random) {
        List<FakeControlMember> members = run.group().members();
        members.stream()
            .filter(FakeControlMember::isServing)
            .findFirst()
            .ifPresent(
                leader -> {
                  leader.kill();
                  run.group().after(1_000_000_000L, () -> run.group().restart(leader));
                });
      }
    },
    LEADER_PAUSED {
      @Override
      void inject(RolloutSimulation run, SplittableRandom random) {
        run.group().members().stream()
            .filter(FakeControlMember::isServing)
            .findFirst()
            .ifPresent(
                leader -> {
                  leader.pause();
                  run.group().after(2_000_000_000L, leader::resume);
                });
      }
    },
    VM_RESTARTED {
      @Override
      void inject(RolloutSimulation run, SplittableRandom random) {
        run.restartVm(random.nextInt(run.vms().count()));
      }
    },
    VM_PARTITIONED {
      @Override
      void inject(RolloutSimulation run, SplittableRandom random) {
        int vm = random.nextInt(run.vms().count());
        run.vms().setPartitioned(vm, true);
        run.group().after(2_000_000_000L, () -> run.vms().setPartitioned(vm, false));
      }
    },
    POWER_LOST {
      @Override
      void inject(RolloutSimulation run, SplittableRandom random) {
        if (random.nextInt(4) == 0) {
          run.losePower();
        }
      }
    };

    abstract void inject(RolloutSimulation run, SplittableRandom random);
  }

  private final RolloutSimulation run;
  private final SplittableRandom random;

  RolloutFaultInjector(RolloutSimulation run, SplittableRandom random) {
    this.run = run;
    this.random = random;
  }

  /**
   * Advances the time; in a third of the steps, a random fault (or none) is injected, and the load
   * may double.
   */
  void simulate(int lengthMs, double perSecond) {
    Fault[] faults = Fault.values();
    for (int step = 0; step < STEPS; step++) {
      if (random.nextInt(3) == 0) {
        faults[random.nextInt(faults.length)].inject(run, random);
      }
      double rate = random.nextInt(6) == 0 ? 2 * perSecond : perSecond;
      run.simulate(lengthMs / STEPS, rate);
    }
  }
}
