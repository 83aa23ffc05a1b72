package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
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

  private static final double MIN_SERVED = 0.95;
  private static final double MIN_SERVED_AFTERWARDS = 0.98;

  /** One request in twenty. */
  private static final double MAX_RELAYED = 0.05;

  private static CutRun play(Cut cut, int vmCount, long seed) {
    CutRun run =
        CutRun.play(cut, vmCount, vmCount, seed, FAULT_MS, RECOVERED_AFTER_MS + AFTERWARDS_MS);
    long recoveredNs = run.endNs() + RECOVERED_AFTER_MS * 1_000_000L;
    assertThat(run.affectedTally(recoveredNs, run.stopNs()).share())
        .isGreaterThan(MIN_SERVED_AFTERWARDS);
    PathLossSimulation simulation = run.simulation();
    assertThat(simulation.openRequests()).isZero();
    assertThat(simulation.ranTwice()).isEmpty();
    assertThat(simulation.ranThoughRefused()).isEmpty();
    for (int vm = 0; vm < vmCount; vm++) {
      assertThat(simulation.refusalsAt(vm)).doesNotContainKey(RefusalReason.QUARANTINED);
    }
    return run;
  }

  /** Guards against paths and contents that count as lost or deadly because of one upstream. */
  @ParameterizedTest
  @CsvSource({"3, 1", "3, 2", "3, 3", "9, 4", "9, 5"})
  void oneUpstreamThatResetsConnectionsHarmsNobody(int vmCount, long seed) {
    CutRun run = play(Cut.FIRST_ACCEPTED_RESET, vmCount, seed);
    PathLossSimulation.Tally during = run.affectedTally(run.startNs(), run.endNs());
    assertThat(during.share()).isGreaterThan(MIN_SERVED);
    assertThat(run.simulation().relayed())
        .isLessThanOrEqualTo((int) (MAX_RELAYED * during.asked()));
  }

  /** Guards against harm that outlasts a service that was down as a whole. */
  @ParameterizedTest
  @ValueSource(strings = {"RESET", "SILENT", "ACCEPTED_RESET", "NEW_ACCEPTED_RESET", "MIXED"})
  void serviceThatIsDownForAllVmsIsServedAgainAtOnce(Cut cut) {
    play(cut, 3, 1);
    play(cut, 9, 2);
  }
}
