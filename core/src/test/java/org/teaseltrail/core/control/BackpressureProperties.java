package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import org.teaseltrail.core.backpressure.RateLimit;

/**
 * Engines signal rate limits, backoffs and their leaving at random while leaders and VMs fail and
 * the load varies. All informed VMs must obey these signals, and once the signals end, each engine
 * must receive its share of the requests again.
 */
class BackpressureProperties {

  private static final int ENGINES = 10;
  private static final int STEPS = 40;
  private static final int STEP_MS = 600;
  private static final int SETTLE_MS = 8_000;
  private static final int ALLOWED_IN_BACKOFF = 2;
  private static final double PER_SECOND = 55;

  /** Backpressure signal that an engine starts or ends. */
  private enum Signal {
    LIMIT {
      @Override
      void applyTo(BackpressureEngine engine, SplittableRandom random) {
        engine.name(new RateLimit(random.nextDouble(6)));
      }
    },
    BACKOFF {
      @Override
      void applyTo(BackpressureEngine engine, SplittableRandom random) {
        engine.rejectAll(500 + random.nextInt(4_000));
      }
    },
    NONE {
      @Override
      void applyTo(BackpressureEngine engine, SplittableRandom random) {
        engine.name(RateLimit.UNLIMITED);
        engine.rejectAll(0);
      }
    };

    abstract void applyTo(BackpressureEngine engine, SplittableRandom random);
  }

  /** Fault that may be injected in a step. */
  private enum Fault {
    LEADER_KILLED {
      @Override
      void inject(BackpressureSimulation run, SplittableRandom random) {
        onLeader(
            run,
            leader -> {
              leader.kill();
              run.group().after(1_000_000_000L, () -> run.group().restart(leader));
            });
      }
    },
    LEADER_PAUSED {
      @Override
      void inject(BackpressureSimulation run, SplittableRandom random) {
        onLeader(
            run,
            leader -> {
              leader.pause();
              run.group().after(2_000_000_000L, leader::resume);
            });
      }
    },
    VM_RESTARTED {
      @Override
      void inject(BackpressureSimulation run, SplittableRandom random) {
        run.restartVm(random.nextInt(run.vms().count()));
      }
    },
    VM_PARTITIONED {
      @Override
      void inject(BackpressureSimulation run, SplittableRandom random) {
        int vm = random.nextInt(run.vms().count());
        run.setVmPartitioned(vm, true);
        run.group().after(2_000_000_000L, () -> run.setVmPartitioned(vm, false));
      }
    },
    REGISTRATION_EXPIRED {
      @Override
      void inject(BackpressureSimulation run, SplittableRandom random) {
        BackpressureEngine engine = run.engine(random.nextInt(ENGINES));
        run.dropHeartbeatsOf(engine, true);
        run.group().after(17_000_000_000L, () -> run.dropHeartbeatsOf(engine, false));
      }
    };

    abstract void inject(BackpressureSimulation run, SplittableRandom random);

    private static void onLeader(BackpressureSimulation run, Consumer<FakeControlMember> action) {
      run.group().members().stream()
          .filter(FakeControlMember::isServing)
          .findFirst()
          .ifPresent(action);
    }
  }

  @Property(seed = "38", tries = 10)
  void backpressureSignalsAreObeyedUnderFaults(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  /** Runs with a fresh seed each time; jqwik prints the seed of a failure. */
  @Tag("long-run")
  @Property(tries = 500)
  void backpressureSignalsAreObeyedUnderFaultsWithFreshSeeds(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  private static void run(SplittableRandom random) {
    int vms = 3 + random.nextInt(12);
    BackpressureSimulation run = new BackpressureSimulation(random.split(), vms, ENGINES);
    run.simulate(2_000, PER_SECOND);
    for (int step = 0; step < STEPS; step++) {
      if (random.nextInt(3) == 0) {
        BackpressureEngine engine = run.engine(random.nextInt(ENGINES));
        Signal.values()[random.nextInt(Signal.values().length)].applyTo(engine, random);
      }
      if (random.nextInt(8) == 0) {
        Fault.values()[random.nextInt(Fault.values().length)].inject(run, random);
      }
      if (step == STEPS / 2) {
        run.engine(0).startLeaving();
      }
      run.simulate(STEP_MS, random.nextInt(6) == 0 ? 2.5 * PER_SECOND : PER_SECOND);
    }
    for (BackpressureEngine engine : run.engines()) {
      assertThat(engine.excess()).isLessThanOrEqualTo(0);
      assertThat(engine.maxRequestsInBackoff()).isLessThanOrEqualTo(ALLOWED_IN_BACKOFF);
      assertThat(engine.requestsAfterLeaving()).isZero();
    }
    assertAllReceiveTheirShare(run, random);
  }

  private static void assertAllReceiveTheirShare(
      BackpressureSimulation run, SplittableRandom random) {
    run.engines().forEach(engine -> Signal.NONE.applyTo(engine, random));
    run.simulate(20_000, PER_SECOND);
    double equalShare = PER_SECOND / (ENGINES - 1);
    for (int i = 1; i < ENGINES; i++) {
      double perSecond = run.engine(i).perSecond(SETTLE_MS, run.group().nowNs());
      assertThat(perSecond).isGreaterThan(equalShare / 3);
    }
  }
}
