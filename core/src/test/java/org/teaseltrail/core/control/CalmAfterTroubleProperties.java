package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;

/**
 * A day stays refused: engines, VMs and members fail under more load than fits, then all is calm,
 * and callers are still refused though the engines have room, since somebody believes in less than
 * there is (places, trust, pace, quotas, sessions, registrations) and nothing corrects it. The
 * promise: in calm, within 3 s, refusals of what fits end and every sound engine is used, whatever
 * went before. Where few engines are left, whose answers take two seconds, what waits from before
 * fills all places for some seconds more; nothing is refused any longer once it is worked off.
 */
class CalmAfterTroubleProperties {

  private static final int TROUBLE_STEPS = 24;
  private static final int STEP_MS = 500;
  private static final int SETTLE_MS = 3_000;

  /** Twice the time that a caller waits at most, so that whoever is refused is seen. */
  private static final int CALM_MS = 8_000;

  private static final double HEAVY = 1.6;

  /** Load in relation to what the engines can answer: uses each of them, and fits. */
  private static final double FITS = 0.6;

  /** Load that doesn't fill all places by chance, as a dozen arrivals at once do with the other. */
  private static final double LIGHT = 0.3;

  private static final int LEAST_ENGINES = 3;

  @Property(seed = "73", tries = 25)
  void calmEndsRefusals(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  /** Takes a fresh seed each time; jqwik prints the one that failed. */
  @Tag("long-run")
  @Property(tries = 1_000)
  void calmEndsRefusalsForLong(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  private static void run(SplittableRandom random) {
    ServingRun run = trouble(random);
    double fits = FITS * run.perSecond();
    run.play(SETTLE_MS, fits);
    run.countAnew();
    run.play(CALM_MS, fits);
    assertThat(run.refusedWithRoom()).as("refusals while engines have room").isEmpty();
    assertThat(run.engines())
        .as("every sound engine is used")
        .allMatch(engine -> engine.dispatched() > 0);
    run.countAnew();
    run.play(CALM_MS, LIGHT * run.perSecond());
    assertThat(run.refused()).as("refusals once what came before is worked off").isEmpty();
  }

  /** Lets everything fail at random, and ends it. */
  static ServingRun trouble(SplittableRandom random) {
    ServingRun run = new ServingRun(random.split());
    run.play(1_000, FITS * run.perSecond());
    for (int step = 0; step < TROUBLE_STEPS; step++) {
      fail(run, random);
      run.play(STEP_MS, (random.nextBoolean() ? HEAVY : FITS) * run.perSecond());
    }
    recover(run);
    return run;
  }

  private static void fail(ServingRun run, SplittableRandom random) {
    FakeControl member = run.group().members().get(random.nextInt(3));
    switch (random.nextInt(8)) {
      case 0 -> run.restartVm(random.nextInt(run.vms()));
      case 1 -> member.kill();
      case 2 -> member.freeze();
      case 3 -> recoverMembers(run);
      case 4 -> {
        if (run.engines().size() > LEAST_ENGINES) {
          run.leave(run.engines().get(random.nextInt(run.engines().size())));
        }
      }
      default -> {
        FakeEngine.State[] states = FakeEngine.State.values();
        run.engines()
            .get(random.nextInt(run.engines().size()))
            .become(states[random.nextInt(states.length)]);
      }
    }
  }

  private static void recover(ServingRun run) {
    run.recoverEngines();
    recoverMembers(run);
  }

  private static void recoverMembers(ServingRun run) {
    for (FakeControl member : run.group().members()) {
      if (member.control() == null) {
        run.group().restart(member);
      }
      member.thaw();
    }
  }
}
