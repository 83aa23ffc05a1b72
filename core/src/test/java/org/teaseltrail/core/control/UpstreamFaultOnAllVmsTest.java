package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.forward.RefusalReason;

/**
 * Connections to upstreams fail at all entry VMs alike, for ten seconds: the fault is at the
 * upstreams, and no VM can help another.
 */
class UpstreamFaultOnAllVmsTest {

  private static final int FAULT_MS = 10_000;

  /** Time from the end of the fault from which on nothing of it may be left. */
  private static final int RECOVERED_AFTER_MS = 3_000;

  private static final int AFTERWARDS_MS = 5_000;

  /** Time after which every request has its final answer. */
  private static final int SETTLE_MS = 4_500;

  private static final double PER_SECOND = 60;
  private static final double MIN_SERVED = 0.95;
  private static final double MIN_SERVED_AFTERWARDS = 0.98;

  /** One request in twenty. */
  private static final double MAX_RELAYED = 0.05;

  private record Result(PathLossSimulation run, PathLossSimulation.Tally during) {}

  private static Result play(Cut cut, int vmCount, long seed) {
    PathLossSimulation run = new PathLossSimulation(seed, vmCount, ContentionSettings.OFF);
    run.simulate(4_000, PER_SECOND);
    final long startNs = run.group().nowNs();
    Set<Integer> all = new HashSet<>();
    for (int vm = 0; vm < vmCount; vm++) {
      all.add(vm);
      run.cut(vm, cut);
    }
    run.simulate(FAULT_MS, PER_SECOND);
    final long endNs = run.group().nowNs();
    all.forEach(run::heal);
    run.simulate(RECOVERED_AFTER_MS + AFTERWARDS_MS, PER_SECOND);
    final long stopNs = run.group().nowNs();
    run.simulate(SETTLE_MS, 0);
    long recoveredNs = endNs + RECOVERED_AFTER_MS * 1_000_000L;
    assertThat(run.tally(all, true, recoveredNs, stopNs).share())
        .isGreaterThan(MIN_SERVED_AFTERWARDS);
    assertThat(run.openRequests()).isZero();
    assertThat(run.ranTwice()).isEmpty();
    assertThat(run.ranThoughRefused()).isEmpty();
    for (int vm = 0; vm < vmCount; vm++) {
      assertThat(run.refusalsAt(vm)).doesNotContainKey(RefusalReason.QUARANTINED);
    }
    return new Result(run, run.tally(all, true, startNs, endNs));
  }

  /** Guards against paths and contents that count as lost or deadly because of one upstream. */
  @ParameterizedTest
  @CsvSource({"3, 1", "3, 2", "3, 3", "9, 4", "9, 5"})
  void oneUpstreamThatResetsConnectionsHarmsNobody(int vmCount, long seed) {
    Result result = play(Cut.FIRST_ACCEPTED_RESET, vmCount, seed);
    assertThat(result.during().share()).isGreaterThan(MIN_SERVED);
    assertThat(result.run().relayed())
        .isLessThanOrEqualTo((int) (MAX_RELAYED * result.during().asked()));
  }

  /** Guards against harm that outlasts a service that was down as a whole. */
  @ParameterizedTest
  @ValueSource(strings = {"RESET", "SILENT", "ACCEPTED_RESET", "NEW_ACCEPTED_RESET", "MIXED"})
  void serviceThatIsDownForAllVmsIsServedAgainAtOnce(Cut cut) {
    play(cut, 3, 1);
    play(cut, 9, 2);
  }
}
