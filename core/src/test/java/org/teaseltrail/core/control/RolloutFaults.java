package org.teaseltrail.core.control;

import java.util.List;
import java.util.SplittableRandom;

/** Brings faults about beside a rollout, a few of them at random. */
final class RolloutFaults {

  private static final int STEPS = 24;

  /** Is a fault that may come at a step. */
  private enum Fault {
    NONE {
      @Override
      void strike(RolloutRun run, SplittableRandom random) {}
    },
    UPSTREAM_CRASHES {
      @Override
      void strike(RolloutRun run, SplittableRandom random) {
        run.crashAtRandom();
      }
    },
    CRASH_WAVE {
      @Override
      void strike(RolloutRun run, SplittableRandom random) {
        for (int i = 0; i < 6; i++) {
          run.crashAtRandom();
        }
      }
    },
    LEADER_KILLED {
      @Override
      void strike(RolloutRun run, SplittableRandom random) {
        List<FakeControl> members = run.group().members();
        members.stream()
            .filter(FakeControl::isServing)
            .findFirst()
            .ifPresent(
                leader -> {
                  leader.kill();
                  run.group().after(1_000_000_000L, () -> run.group().restart(leader));
                });
      }
    },
    LEADER_FROZEN {
      @Override
      void strike(RolloutRun run, SplittableRandom random) {
        run.group().members().stream()
            .filter(FakeControl::isServing)
            .findFirst()
            .ifPresent(
                leader -> {
                  leader.freeze();
                  run.group().after(2_000_000_000L, leader::thaw);
                });
      }
    },
    VM_RESTARTED {
      @Override
      void strike(RolloutRun run, SplittableRandom random) {
        run.restartVm(random.nextInt(run.vms().count()));
      }
    },
    VM_CUT {
      @Override
      void strike(RolloutRun run, SplittableRandom random) {
        int vm = random.nextInt(run.vms().count());
        run.vms().cut(vm, true);
        run.group().after(2_000_000_000L, () -> run.vms().cut(vm, false));
      }
    },
    POWER_LOST {
      @Override
      void strike(RolloutRun run, SplittableRandom random) {
        if (random.nextInt(4) == 0) {
          run.losePower();
        }
      }
    };

    abstract void strike(RolloutRun run, SplittableRandom random);
  }

  private final RolloutRun run;
  private final SplittableRandom random;

  RolloutFaults(RolloutRun run, SplittableRandom random) {
    this.run = run;
    this.random = random;
  }

  /** Lets time pass; in about a third of the steps something fails, and load may double. */
  void play(int lengthMs, double perSecond) {
    Fault[] faults = Fault.values();
    for (int step = 0; step < STEPS; step++) {
      if (random.nextInt(3) == 0) {
        faults[random.nextInt(faults.length)].strike(run, random);
      }
      double rate = random.nextInt(6) == 0 ? 2 * perSecond : perSecond;
      run.play(lengthMs / STEPS, rate);
    }
  }
}
