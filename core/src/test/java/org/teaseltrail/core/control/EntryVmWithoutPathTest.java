package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Some entry VMs are partitioned from all upstreams for twelve seconds, while callers, control
 * members and the other VMs reach them. Their callers got 502 or 503, or no answer within their
 * deadline, although the upstreams had room and the neighbours served: each VM knew one way to an
 * upstream, its own connection.
 */
class EntryVmWithoutPathTest {

  /** Time from the start of a partition from which on its VMs have to serve again. */
  private static final int DETECTED_AFTER_MS = 3_000;

  /** Time from the end of a partition from which on nothing of it may be left. */
  private static final int RECOVERED_AFTER_MS = 3_000;

  private static final int CUT_MS = 12_000;
  private static final int AFTERWARDS_MS = 5_000;

  /** First tries at partitioned VMs, relative to the others, that have to be served at least. */
  private static final double MIN_RATIO = 2.0 / 3;

  /** First tries that may fail at partitioned VMs: 10 and one in 50 of all. */
  private static final int ALLOWED_FAILURES = 10;

  private static final double ALLOWED_FAILED_SHARE = 0.02;

  /** Guards against VMs without a path that fail requests which other VMs could serve. */
  @ParameterizedTest
  @CsvSource({
    "RESET, 1, 3, 1",
    "RESET, 4, 9, 2",
    "SILENT, 1, 3, 3",
    "SILENT, 4, 9, 4",
    "SILENT, 5, 6, 5",
    "OPEN_SILENT, 1, 3, 6",
    "OPEN_SILENT, 4, 9, 7",
    "NEW_REFUSED, 1, 3, 8",
    "NEW_REFUSED, 4, 9, 9",
    "ACCEPTED_SILENT, 1, 3, 10",
    "ACCEPTED_SILENT, 5, 6, 11",
  })
  void callersOfVmsWithoutPathAreServedLikeOthers(Cut cut, int cutVms, int vmCount, long seed) {
    CutRun run =
        CutRun.play(cut, cutVms, vmCount, seed, CUT_MS, RECOVERED_AFTER_MS + AFTERWARDS_MS);

    long countedFromNs = run.startNs() + DETECTED_AFTER_MS * 1_000_000L;
    PathLossSimulation.Tally cutTally = run.affectedTally(countedFromNs, run.endNs());
    PathLossSimulation.Tally others = run.otherTally(run.startNs(), run.endNs());
    long recoveredNs = run.endNs() + RECOVERED_AFTER_MS * 1_000_000L;
    assertThat(others.share()).isGreaterThan(0.98);
    assertThat(cutTally.share()).isGreaterThan(MIN_RATIO * others.share());
    int all = cutTally.asked() + run.otherTally(countedFromNs, run.endNs()).asked();
    assertThat(cutTally.asked() - cutTally.served())
        .isLessThanOrEqualTo((int) (ALLOWED_FAILURES + ALLOWED_FAILED_SHARE * all));
    assertThat(run.affectedTally(recoveredNs, run.stopNs()).share()).isGreaterThan(0.98);
    assertThat(run.otherTally(recoveredNs, run.stopNs()).share()).isGreaterThan(0.98);
    assertThat(run.simulation().ranTwice()).isEmpty();
    assertThat(run.simulation().ranThoughRefused()).isEmpty();
  }
}
