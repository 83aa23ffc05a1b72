package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.forward.RefusalReason;

/**
 * Deadly requests come while members, VMs, engines and links fail at random. The promises: once all
 * machines in touch had time to know, a deadly request is sent no more than three times, whatever
 * failed before; and when all is calm again, no request that harms nobody is held.
 */
class QuarantineProperties {

  private static final int ALLOWED_SENDS = 3;
  private static final int STEPS = 24;
  private static final int STEP_MS = 500;
  private static final int SETTLE_MS = 5_000;
  private static final int CALM_MS = 5_000;
  private static final double LOAD_PER_SECOND = 40;
  private static final int POPULAR_EVERY_MS = 100;
  private static final int END_AT_RANDOM_EVERY_MS = 700;

  @Property(seed = "29", tries = 25)
  void deadlyRequestsAreStoppedAndNoOthers(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  /** Links break at several engines at once under one content, and no heartbeat comes after. */
  @Test
  void breaksAtOneMomentHoldNothing() {
    run(new SplittableRandom(-6));
  }

  /** After a loss of power several deadly requests end most engines within half a second. */
  @Test
  @org.junit.jupiter.api.Tag("known-red")
  void batchesThatAllEndAfterLossOfPowerAreNotHeld() {
    run(new SplittableRandom(-711014));
  }

  /** Takes a fresh seed each time; jqwik prints the one that failed. */
  @Tag("long-run")
  @Property(tries = 1_000)
  void deadlyRequestsAreStoppedAndNoOthersForLong(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  private static void run(SplittableRandom random) {
    int vms = 3 + random.nextInt(18);
    int engines = 8 + random.nextInt(9);
    DeadlyRequestRun run = new DeadlyRequestRun(random.split(), vms, engines);
    run.askForPopular(POPULAR_EVERY_MS);
    run.play(1_000, LOAD_PER_SECOND);
    DeadlyRequestRun.Kind[] kinds = DeadlyRequestRun.Kind.values();
    run.askForDeadly(kinds[random.nextInt(kinds.length)], 1 + random.nextInt(3));
    for (int step = 0; step < STEPS; step++) {
      fail(run, random);
      run.play(STEP_MS, LOAD_PER_SECOND);
    }
    recover(run);
    run.play(SETTLE_MS, LOAD_PER_SECOND);
    run.countAnew();
    run.play(CALM_MS, LOAD_PER_SECOND);
    assertThat(run.harm().values())
        .as("sends of each deadly request once it had to be known")
        .allMatch(harm -> harm.sendsOnceKnown() <= ALLOWED_SENDS);
    assertThat(run.innocentRefused())
        .as("requests that harm nobody and are held in calm")
        .doesNotContainKey(RefusalReason.QUARANTINED);
  }

  private static void fail(DeadlyRequestRun run, SplittableRandom random) {
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
      case 9 -> run.endAtRandom(END_AT_RANDOM_EVERY_MS);
      case 10 -> run.endAtRandom(0);
      default -> {
        // Nothing else fails in this step.
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
