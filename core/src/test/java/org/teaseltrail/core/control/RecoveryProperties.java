package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;

/**
 * Callers could still be refused after all faults have ended, although the engines have spare
 * capacity, if some component keeps an estimate that is too low (slots, confidence, latency,
 * quotas, sessions, registrations) and nothing corrects it. Engines, VMs and members fail under
 * overload and recover. Within 3 s afterwards, requests that fit the capacity must no longer be
 * refused and each healthy engine must be used, whatever happened before. If only a few engines are
 * left and their answers take two seconds, the backlog occupies all slots for some more seconds;
 * nothing may be refused once it is processed.
 */
class RecoveryProperties {

  private static final int FAULT_STEPS = 24;
  private static final int STEP_MS = 500;
  private static final int SETTLE_MS = 3_000;

  /** Twice the maximum time that a caller waits, so that each refused caller is counted. */
  private static final int OBSERVATION_MS = 8_000;

  private static final double OVERLOAD = 1.6;

  /** Load as a fraction of the engines' capacity; it uses each engine and fits. */
  private static final double NORMAL_LOAD = 0.6;

  /**
   * Load that does not fill all slots by chance. At {@link #NORMAL_LOAD}, a dozen simultaneous
   * arrivals do.
   */
  private static final double LIGHT_LOAD = 0.3;

  private static final int MIN_ENGINES = 3;

  @Property(seed = "73", tries = 25)
  void refusalsEndAfterRecovery(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  /** Runs with a fresh seed each time; jqwik prints the seed of a failure. */
  @Tag("long-run")
  @Property(tries = 1_000)
  void refusalsEndAfterRecoveryWithFreshSeeds(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  private static void run(SplittableRandom random) {
    ServingSimulation run = simulateFaults(random);
    double normalRate = NORMAL_LOAD * run.perSecond();
    run.simulate(SETTLE_MS, normalRate);
    run.resetCounters();
    run.simulate(OBSERVATION_MS, normalRate);
    assertThat(run.refusedWithSpareCapacity())
        .as("refusals while engines have spare capacity")
        .isEmpty();
    assertThat(run.engines())
        .as("every healthy engine is used")
        .allMatch(engine -> engine.dispatched() > 0);
    run.resetCounters();
    run.simulate(OBSERVATION_MS, LIGHT_LOAD * run.perSecond());
    assertThat(run.refused()).as("refusals once the backlog is processed").isEmpty();
  }

  /** Injects random faults and then repairs all of them. */
  static ServingSimulation simulateFaults(SplittableRandom random) {
    ServingSimulation run = new ServingSimulation(random.split());
    run.simulate(1_000, NORMAL_LOAD * run.perSecond());
    for (int step = 0; step < FAULT_STEPS; step++) {
      injectFault(run, random);
      run.simulate(STEP_MS, (random.nextBoolean() ? OVERLOAD : NORMAL_LOAD) * run.perSecond());
    }
    recover(run);
    return run;
  }

  private static void injectFault(ServingSimulation run, SplittableRandom random) {
    FakeControlMember member = run.group().members().get(random.nextInt(3));
    switch (random.nextInt(8)) {
      case 0 -> run.restartVm(random.nextInt(run.vms()));
      case 1 -> member.kill();
      case 2 -> member.pause();
      case 3 -> recoverMembers(run);
      case 4 -> {
        if (run.engines().size() > MIN_ENGINES) {
          run.deregister(run.engines().get(random.nextInt(run.engines().size())));
        }
      }
      default -> {
        FakeEngine.State[] states = FakeEngine.State.values();
        run.engines()
            .get(random.nextInt(run.engines().size()))
            .setState(states[random.nextInt(states.length)]);
      }
    }
  }

  private static void recover(ServingSimulation run) {
    run.recoverEngines();
    recoverMembers(run);
  }

  private static void recoverMembers(ServingSimulation run) {
    for (FakeControlMember member : run.group().members()) {
      if (member.control() == null) {
        run.group().restart(member);
      }
      member.resume();
    }
  }
}
