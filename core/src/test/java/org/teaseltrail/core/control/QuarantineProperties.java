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
  void deadlyRequestsAreStoppedAndNoOthers(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  /**
   * Connections to several engines break at once while they run the same content, and no heartbeat
   * follows.
   */
  @Test
  void breaksAtOneMomentHoldNothing() {
    run(new SplittableRandom(-6));
  }

  /** After a power loss several poison requests crash most engines within half a second. */
  @Test
  @org.junit.jupiter.api.Tag("known-red")
  void batchesThatAllEndAfterLossOfPowerAreNotHeld() {
    run(new SplittableRandom(-711014));
  }

  /** Runs with a fresh seed each time; jqwik prints the seed of a failure. */
  @Tag("long-run")
  @Property(tries = 1_000)
  void deadlyRequestsAreStoppedAndNoOthersForLong(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  private static void run(SplittableRandom random) {
    int vms = 3 + random.nextInt(18);
    int engines = 8 + random.nextInt(9);
    DeadlyRequestRun run = new DeadlyRequestRun(random.split(), vms, engines);
    run.askForPopular(POPULAR_INTERVAL_MS);
    run.play(1_000, LOAD_PER_SECOND);
    DeadlyRequestRun.Kind[] kinds = DeadlyRequestRun.Kind.values();
    run.askForDeadly(kinds[random.nextInt(kinds.length)], 1 + random.nextInt(3));
    for (int step = 0; step < STEPS; step++) {
      injectFault(run, random);
      run.play(STEP_MS, LOAD_PER_SECOND);
    }
    recover(run);
    run.play(SETTLE_MS, LOAD_PER_SECOND);
    run.countAnew();
    run.play(OBSERVATION_MS, LOAD_PER_SECOND);
    assertThat(run.harm().values())
        .as("dispatches of each poison request after it must be known")
        .allMatch(stats -> stats.sendsOnceKnown() <= ALLOWED_SENDS);
    assertThat(run.innocentRefused())
        .as("harmless requests quarantined after recovery")
        .doesNotContainKey(RefusalReason.QUARANTINED);
  }

  private static void injectFault(DeadlyRequestRun run, SplittableRandom random) {
    FakeControl member = run.group().members().get(random.nextInt(3));
    int vm = random.nextInt(run.vms().count());
    switch (random.nextInt(14)) {
      case 0 -> {
        run.restartVm(vm);
        run.disturbed();
      }
      case 1 -> {
        member.kill();
        run.disturbed();
      }
      case 2 -> {
        run.group().members().forEach(run.group()::restart);
        run.disturbed();
      }
      case 3 -> {
        run.vms().cut(vm, true);
        run.disturbed();
      }
      case 4 -> join(run);
      case 5 -> {
        run.losePower();
        run.disturbed();
      }
      case 6 -> run.loseHeartbeats(true);
      case 7 -> run.loseHeartbeats(false);
      case 8 -> run.breakOff(0.5);
      case 9 -> run.endAtRandom(CRASH_INTERVAL_MS);
      case 10 -> run.endAtRandom(0);
      default -> {
        // No fault is injected in this step.
      }
    }
  }

  private static void join(DeadlyRequestRun run) {
    for (int vm = 0; vm < run.vms().count(); vm++) {
      run.vms().cut(vm, false);
    }
    run.disturbed();
  }

  private static void recover(DeadlyRequestRun run) {
    run.group().members().forEach(run.group()::restart);
    join(run);
    run.loseHeartbeats(false);
    run.endAtRandom(0);
  }
}
