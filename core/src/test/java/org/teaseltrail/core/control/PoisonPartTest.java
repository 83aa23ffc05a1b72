package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.teaseltrail.core.forward.RefusalReason;

/**
 * Requests that have a part of their prompts in common which crashes each upstream that begins to
 * answer them.
 *
 * <p>The incident: 29 upstreams ended within half a minute, one after the other, under requests of
 * which no two were alike. Each had a fingerprint of its own, so each was a suspect of one loss,
 * and the only request that the leader held was a bystander.
 */
class PoisonPartTest {

  /** Dispatches that the users allow after five crashes and the time in which all VMs know. */
  private static final int ALLOWED_SENDS = 3;

  /** Share of its former success that sound requests must keep; the users require a half. */
  private static final double AIMED_SHARE = 0.9;

  private static final double LOAD_PER_SECOND = 20;

  /** Guards against a part of prompts that crashes one upstream after the other. */
  @ParameterizedTest
  @CsvSource({
    "1, 250, 6, 8, 1",
    "1, 250, 6, 8, 2",
    "1, 1000, 6, 8, 3",
    "2, 250, 6, 16, 4",
    "1, 250, 20, 16, 5",
    "1, 500, 6, 5, 6",
    "1, 250, 60, 60, 7"
  })
  void partThatCrashesUpstreamsIsQuarantined(
      int parts, int intervalMs, int vms, int engines, long seed) {
    PoisonRequestSimulation run = start(vms, engines, seed);
    run.startPoisonParts(parts, intervalMs);
    run.simulate(20_000, LOAD_PER_SECOND);
    assertThat(run.sendsAfterDetection()).isLessThanOrEqualTo(ALLOWED_SENDS);
  }

  /** Guards against sound requests that are refused for parts they share with deadly ones. */
  @ParameterizedTest
  @CsvSource({"1, 250, 8, 21", "1, 250, 8, 22", "1, 1000, 8, 23", "2, 250, 16, 24"})
  void soundRequestsWithTheOtherPartsAreServed(int parts, int intervalMs, int engines, long seed) {
    PoisonRequestSimulation run = start(6, engines, seed);
    run.resetCounters();
    run.simulate(10_000, LOAD_PER_SECOND);
    final double before = run.servedShare();
    run.startPoisonParts(parts, intervalMs);
    run.simulate(12_000, LOAD_PER_SECOND);
    run.resetCounters();
    run.simulate(10_000, LOAD_PER_SECOND);
    assertThat(run.servedShare()).isGreaterThanOrEqualTo(AIMED_SHARE * before);
    assertThat(run.harmlessRefused()).doesNotContainKey(RefusalReason.QUARANTINED);
  }

  /** Guards against parts that are held because upstreams end for another reason. */
  @ParameterizedTest
  @CsvSource({"700, 31", "700, 32", "1500, 33"})
  void nothingIsHeldWhenUpstreamsEndByThemselves(int crashIntervalMs, long seed) {
    PoisonRequestSimulation run = start(6, 8, seed);
    run.crashEnginesAtRandom(crashIntervalMs);
    run.simulate(30_000, LOAD_PER_SECOND);
    assertThat(run.harmlessRefused()).doesNotContainKey(RefusalReason.QUARANTINED);
  }

  /** Guards against parts that are held because links break at many upstreams in one moment. */
  @ParameterizedTest
  @CsvSource({"41", "42"})
  void nothingIsHeldWhenConnectionsBreak(long seed) {
    PoisonRequestSimulation run = start(6, 8, seed);
    for (int i = 0; i < 20; i++) {
      run.breakConnections(0.5);
      run.simulate(1_000, LOAD_PER_SECOND);
    }
    assertThat(run.harmlessRefused()).doesNotContainKey(RefusalReason.QUARANTINED);
  }

  /** Guards against a part that is forgotten with the loss of all power. */
  @ParameterizedTest
  @CsvSource({"51", "52"})
  void partStaysQuarantinedAfterLossOfPower(long seed) {
    PoisonRequestSimulation run = start(6, 8, seed);
    run.startPoisonParts(1, 250);
    run.simulate(15_000, LOAD_PER_SECOND);
    run.losePower();
    run.recordDisturbance();
    run.simulate(15_000, LOAD_PER_SECOND);
    assertThat(run.sendsAfterDetection()).isLessThanOrEqualTo(ALLOWED_SENDS);
  }

  /** Guards against combinations of the above; takes a fresh seed, which a failure names. */
  @RepeatedTest(50)
  @Tag("long-run")
  void partIsQuarantinedWhateverElseHappens() {
    long seed = new SplittableRandom().nextLong();
    SplittableRandom random = new SplittableRandom(seed);
    int engines = 6 + random.nextInt(20);
    PoisonRequestSimulation run = start(3 + random.nextInt(20), engines, seed);
    run.startPoisonParts(1 + random.nextInt(2), 200 + random.nextInt(800));
    for (int i = 0; i < 25; i++) {
      run.simulate(1_000, LOAD_PER_SECOND);
      switch (random.nextInt(8)) {
        case 0 -> {
          run.restartVm(random.nextInt(run.vms().count()));
          run.recordDisturbance();
        }
        case 1 -> {
          FakeControlMember leader = run.group().leader();
          leader.kill();
          run.group().restart(leader);
          run.recordDisturbance();
        }
        case 2 -> run.breakConnections(random.nextDouble());
        default -> {
          // A second without further trouble.
        }
      }
    }
    assertThat(run.sendsAfterDetection()).as("seed %d", seed).isLessThanOrEqualTo(ALLOWED_SENDS);
  }

  private static PoisonRequestSimulation start(int vms, int engines, long seed) {
    PoisonRequestSimulation run =
        new PoisonRequestSimulation(new SplittableRandom(seed), vms, engines);
    run.usePrompts();
    run.simulate(4_000, LOAD_PER_SECOND);
    return run;
  }
}
