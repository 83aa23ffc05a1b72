package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * All upstreams accept connections slowly, after 300 to 800 ms, for ten seconds. No entry VM has
 * lost its paths: relays to peers, which are as slow, can't help.
 */
class SlowAcceptTest {

  private static final int SLOW_MS = 10_000;
  private static final int AFTERWARDS_MS = 5_000;
  private static final double MIN_SERVED = 0.98;

  /** One request in twenty. */
  private static final double MAX_RELAYED = 0.05;

  /** Guards against relays among VMs that take slow upstreams for lost paths. */
  @ParameterizedTest
  @CsvSource({"3, 1", "3, 2", "12, 1", "12, 2", "12, 3"})
  void slowUpstreamsAreNoLostPaths(int vmCount, long seed) {
    CutRun run = CutRun.play(Cut.SLOW_ACCEPT, vmCount, vmCount, seed, SLOW_MS, AFTERWARDS_MS);
    PathLossSimulation.Tally slow = run.affectedTally(run.startNs(), run.endNs());
    assertThat(slow.share()).isGreaterThan(MIN_SERVED);
    assertThat(run.affectedTally(run.endNs(), run.stopNs()).share()).isGreaterThan(MIN_SERVED);
    assertThat(run.simulation().relayed()).isLessThanOrEqualTo((int) (MAX_RELAYED * slow.asked()));
  }
}
