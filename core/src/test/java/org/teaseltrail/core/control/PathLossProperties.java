package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import org.teaseltrail.core.contention.ContentionSettings;

/**
 * Entry VMs lose their paths in random ways and numbers, again and again, while leaders and entry
 * VMs are killed and bursts come. No request may run twice that may not, "not run" must be true,
 * and once all paths are back nothing may be left of it.
 */
class PathLossProperties {

  private static final int STEPS = 20;
  private static final int STEP_MS = 700;
  private static final int SETTLE_MS = 5_000;
  private static final int RECOVERED_AFTER_MS = 3_000;
  private static final double PER_SECOND = 60;
  private static final double BURST_PER_SECOND = 300;

  /** Trouble that may come in a step. */
  private enum Trouble {
    CUT {
      @Override
      void inject(PathLossSimulation run, SplittableRandom random) {
        Cut cut = Cut.values()[random.nextInt(Cut.values().length)];
        int count = 1 + random.nextInt(run.vms().count() - 1);
        for (int i = 0; i < count; i++) {
          run.cut(random.nextInt(run.vms().count()), cut);
        }
      }
    },
    HEAL {
      @Override
      void inject(PathLossSimulation run, SplittableRandom random) {
        for (int vm = 0; vm < run.vms().count(); vm++) {
          run.heal(vm);
        }
      }
    },
    LEADER_KILLED {
      @Override
      void inject(PathLossSimulation run, SplittableRandom random) {
        run.group().members().stream()
            .filter(FakeControlMember::isServing)
            .findFirst()
            .ifPresent(
                leader -> {
                  leader.kill();
                  run.group().after(1_000_000_000L, () -> run.group().restart(leader));
                });
      }
    },
    VM_RESTARTED {
      @Override
      void inject(PathLossSimulation run, SplittableRandom random) {
        run.restart(random.nextInt(run.vms().count()));
      }
    };

    abstract void inject(PathLossSimulation run, SplittableRandom random);
  }

  @Property(seed = "47", tries = 15)
  void requestsRunOnceAndRefusalsAreTrue(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  /** Runs with a fresh seed each time; jqwik prints the seed of a failure. */
  @Tag("long-run")
  @Property(tries = 1_000)
  void requestsRunOnceAndRefusalsAreTrueWithFreshSeeds(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  private static void run(SplittableRandom random) {
    int vmCount = 3 + random.nextInt(8);
    ContentionSettings contention =
        random.nextBoolean() ? ContentionSettings.OFF : ContentionSettings.ON;
    PathLossSimulation run = new PathLossSimulation(random.nextLong(), vmCount, contention);
    run.simulate(3_000, PER_SECOND);
    for (int step = 0; step < STEPS; step++) {
      if (random.nextInt(3) == 0) {
        Trouble.values()[random.nextInt(Trouble.values().length)].inject(run, random);
      }
      run.simulate(STEP_MS, random.nextInt(6) == 0 ? BURST_PER_SECOND : PER_SECOND);
    }
    Trouble.HEAL.inject(run, random);
    run.simulate(RECOVERED_AFTER_MS, PER_SECOND);
    final long recoveredNs = run.group().nowNs();
    run.simulate(SETTLE_MS, PER_SECOND);
    final long stopNs = run.group().nowNs();
    run.simulate(SETTLE_MS, 0);
    assertThat(run.ranTwice()).isEmpty();
    assertThat(run.ranThoughRefused()).isEmpty();
    Set<Integer> all = new HashSet<>();
    for (int vm = 0; vm < vmCount; vm++) {
      all.add(vm);
    }
    assertThat(run.tally(all, true, recoveredNs, stopNs).share()).isGreaterThan(0.98);
  }
}
