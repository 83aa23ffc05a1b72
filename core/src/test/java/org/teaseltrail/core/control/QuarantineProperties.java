package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.forward.RefusalReason;

/**
 * Callers send poison requests while members, VMs, engines and connections fail at random. Once all
 * connected machines had time to know, a poison request must be dispatched at most three times,
 * whatever failed before; and once all faults have ended, no harmless request may be quarantined.
 */
class QuarantineProperties {

  private static final int ALLOWED_SENDS = 3;
  private static final int STEPS = 24;
  private static final int STEP_MS = 500;
  private static final int SETTLE_MS = 5_000;
  private static final int OBSERVATION_MS = 5_000;
  private static final double LOAD_PER_SECOND = 40;
  private static final int POPULAR_INTERVAL_MS = 100;
  private static final int CRASH_INTERVAL_MS = 700;

  @Property(seed = "29", tries = 25)
  void onlyPoisonRequestsAreQuarantined(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  /**
   * Connections to several engines break at once while they run the same content, and no heartbeat
   * follows.
   */
  @Test
  void simultaneousBreaksCauseNoQuarantine() {
    run(new SplittableRandom(-6));
  }

  /** After a power loss several poison requests crash most engines within half a second. */
  @Test
  void batchesThatAllEndAfterLossOfPowerAreNotHeld() {
    run(new SplittableRandom(-711014));
  }

  /** Runs with a fresh seed each time; jqwik prints the seed of a failure. */
  @Tag("long-run")
  @Property(tries = 1_000)
  void onlyPoisonRequestsAreQuarantinedWithFreshSeeds(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  private static void run(SplittableRandom random) {
    int vms = 3 + random.nextInt(18);
    int engines = 8 + random.nextInt(9);
    PoisonRequestSimulation run = new PoisonRequestSimulation(random.split(), vms, engines);
    run.startPopularRequests(POPULAR_INTERVAL_MS);
    run.simulate(1_000, LOAD_PER_SECOND);
    PoisonRequestSimulation.Kind[] kinds = PoisonRequestSimulation.Kind.values();
    run.startPoisonRequests(kinds[random.nextInt(kinds.length)], 1 + random.nextInt(3));
    for (int step = 0; step < STEPS; step++) {
      injectFault(run, random);
      run.simulate(STEP_MS, LOAD_PER_SECOND);
    }
    recover(run);
    run.simulate(SETTLE_MS, LOAD_PER_SECOND);
    run.resetCounters();
    run.simulate(OBSERVATION_MS, LOAD_PER_SECOND);
    assertThat(run.crashStats().values())
        .as("dispatches of each poison request after it must be known")
        .allMatch(stats -> stats.sendsAfterDetection() <= ALLOWED_SENDS);
    assertThat(run.harmlessRefused())
        .as("harmless requests quarantined after recovery")
        .doesNotContainKey(RefusalReason.QUARANTINED);
  }

  private static void injectFault(PoisonRequestSimulation run, SplittableRandom random) {
    FakeControlMember member = run.group().members().get(random.nextInt(3));
    int vm = random.nextInt(run.vms().count());
    switch (random.nextInt(14)) {
      case 0 -> {
        run.restartVm(vm);
        run.recordDisturbance();
      }
      case 1 -> {
        member.kill();
        run.recordDisturbance();
      }
      case 2 -> {
        run.group().members().forEach(run.group()::restart);
        run.recordDisturbance();
      }
      case 3 -> {
        run.vms().setPartitioned(vm, true);
        run.recordDisturbance();
      }
      case 4 -> join(run);
      case 5 -> {
        run.losePower();
        run.recordDisturbance();
      }
      case 6 -> run.dropHeartbeats(true);
      case 7 -> run.dropHeartbeats(false);
      case 8 -> run.breakConnections(0.5);
      case 9 -> run.crashEnginesAtRandom(CRASH_INTERVAL_MS);
      case 10 -> run.crashEnginesAtRandom(0);
      default -> {
        // No fault is injected in this step.
      }
    }
  }

  private static void join(PoisonRequestSimulation run) {
    for (int vm = 0; vm < run.vms().count(); vm++) {
      run.vms().setPartitioned(vm, false);
    }
    run.recordDisturbance();
  }

  private static void recover(PoisonRequestSimulation run) {
    run.group().members().forEach(run.group()::restart);
    join(run);
    run.dropHeartbeats(false);
    run.crashEnginesAtRandom(0);
  }
}
