package org.teaseltrail.core.control;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.teaseltrail.core.contention.ContentionSettings;

/**
 * A run in which the first entry VMs are partitioned from upstreams for some time, with callers
 * before, meanwhile and afterwards.
 *
 * @param simulation the simulation after the run, when every request has its final answer
 * @param affected the partitioned VMs
 * @param startNs start of the partition
 * @param endNs its end
 * @param stopNs when the last callers had sent their requests
 */
record CutRun(
    PathLossSimulation simulation, Set<Integer> affected, long startNs, long endNs, long stopNs) {

  private static final double PER_SECOND = 60;
  private static final int WARM_UP_MS = 4_000;

  /** Time after which every request has its final answer. */
  private static final int SETTLE_MS = 4_500;

  /** Plays a run. */
  static CutRun play(Cut cut, int cutVms, int vmCount, long seed, int cutMs, int afterwardsMs) {
    PathLossSimulation run = new PathLossSimulation(seed, vmCount, ContentionSettings.OFF);
    run.simulate(WARM_UP_MS, PER_SECOND);
    Set<Integer> affected = IntStream.range(0, cutVms).boxed().collect(Collectors.toSet());
    final long startNs = run.group().nowNs();
    affected.forEach(vm -> run.cut(vm, cut));
    run.simulate(cutMs, PER_SECOND);
    final long endNs = run.group().nowNs();
    affected.forEach(run::heal);
    run.simulate(afterwardsMs, PER_SECOND);
    final long stopNs = run.group().nowNs();
    run.simulate(SETTLE_MS, 0);
    return new CutRun(run, affected, startNs, endNs, stopNs);
  }

  /** Returns the first tries at partitioned VMs in a time span. */
  PathLossSimulation.Tally affectedTally(long fromNs, long toNs) {
    return simulation.tally(affected, true, fromNs, toNs);
  }

  /** Returns the first tries at the other VMs in a time span. */
  PathLossSimulation.Tally otherTally(long fromNs, long toNs) {
    return simulation.tally(affected, false, fromNs, toNs);
  }
}
