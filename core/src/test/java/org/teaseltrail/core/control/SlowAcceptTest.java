package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.teaseltrail.core.contention.ContentionSettings;

/**
 * All upstreams accept connections slowly, after 300 to 800 ms, for ten seconds. No entry VM has
 * lost its paths: relays to peers, which are as slow, can't help.
 */
class SlowAcceptTest {

  private static final int SLOW_MS = 10_000;
  private static final int AFTERWARDS_MS = 5_000;
  private static final int SETTLE_MS = 4_500;
  private static final int PER_SECOND = 60;
  private static final double MIN_SERVED = 0.98;

  /** One request in twenty. */
  private static final double MAX_RELAYED = 0.05;

  /** Guards against relays among VMs that take slow upstreams for lost paths. */
  @ParameterizedTest
  @CsvSource({"3, 1", "3, 2", "12, 1", "12, 2", "12, 3"})
  void slowUpstreamsAreNoLostPaths(int vmCount, long seed) {
    PathLossSimulation run = new PathLossSimulation(seed, vmCount, ContentionSettings.OFF);
    run.simulate(4_000, PER_SECOND);
    final long startNs = run.group().nowNs();
    Set<Integer> all = new HashSet<>();
    for (int vm = 0; vm < vmCount; vm++) {
      all.add(vm);
      run.cut(vm, Cut.SLOW_ACCEPT);
    }
    run.simulate(SLOW_MS, PER_SECOND);
    final long endNs = run.group().nowNs();
    all.forEach(run::heal);
    run.simulate(AFTERWARDS_MS, PER_SECOND);
    final long stopNs = run.group().nowNs();
    run.simulate(SETTLE_MS, 0);

    PathLossSimulation.Tally slow = run.tally(all, true, startNs, endNs);
    assertThat(slow.share()).isGreaterThan(MIN_SERVED);
    assertThat(run.tally(all, true, endNs, stopNs).share()).isGreaterThan(MIN_SERVED);
    assertThat(run.relayed()).isLessThanOrEqualTo((int) (MAX_RELAYED * slow.asked()));
  }
}
