package org.teaseltrail.core.schedule.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Finds engines that have become slow or silent, by their time per token against the pool's median.
 * Guards against a straggler that holds every request it draws many times longer than others would:
 * callers would see single answers crawl while the rest of the pool is quick. The measure is the
 * scheduler's own, from answers, so an engine that reports itself healthy is found too.
 */
final class StragglerDetector {

  /** Ratio to the median from which an engine counts as slow; engines of one pool differ by 2. */
  private static final double SLOW = 2.5;

  /** Ratio from which it gets only probes. */
  private static final double PROBED = 3.5;

  /** Part of a threshold that the ratio must fall below to be believed recovered. */
  private static final double RECOVERED = 0.8;

  /** Fewest samples of one engine, and fewest engines, that a comparison rests on. */
  private static final int MIN_SAMPLES = 4;

  private static final int MIN_ENGINES = 3;

  /** Part by which each sequence of the batch lengthens a step, taken out of the comparison. */
  private static final double SLOPE = 0.02;

  /** Least time without a first token that counts as silence, in milliseconds. */
  private static final double LEAST_OVERDUE_MS = 3_000;

  /** Multiple of the expected time to a first token that counts as silence. */
  private static final double OVERDUE = 5;

  private static final double NS_PER_MS = 1e6;

  /** Judges every upstream, and returns those whose state has changed. */
  List<SpeedChange> review(Collection<UpstreamAccount> accounts, long nowNs) {
    double median = median(accounts);
    List<SpeedChange> changes = new ArrayList<>();
    for (UpstreamAccount account : accounts) {
      double ratio = median > 0 ? comparable(account) / median : 0;
      SpeedState next = isSilent(account, nowNs) ? SpeedState.PROBED : judge(account, ratio);
      if (next != account.state()) {
        changes.add(new SpeedChange(account.id(), account.state(), next, ratio));
        account.setState(next);
      }
    }
    return changes;
  }

  private static SpeedState judge(UpstreamAccount account, double ratio) {
    if (account.speed().tokenSamples() < MIN_SAMPLES) {
      return SpeedState.ORDINARY;
    }
    double probedFrom = account.state() == SpeedState.PROBED ? PROBED * RECOVERED : PROBED;
    double slowFrom = account.state() == SpeedState.ORDINARY ? SLOW : SLOW * RECOVERED;
    if (ratio >= probedFrom) {
      return SpeedState.PROBED;
    }
    return ratio >= slowFrom ? SpeedState.SLOW : SpeedState.ORDINARY;
  }

  private static boolean isSilent(UpstreamAccount account, long nowNs) {
    InFlight oldest = account.work().oldestUnstarted();
    if (oldest == null) {
      return false;
    }
    double waitedMs = (nowNs - oldest.grantedNs()) / NS_PER_MS;
    double tokens = oldest.prefillAheadTokens() + oldest.prefillTokens();
    double expectedMs = tokens * account.prefillUs() / 1_000 + account.stepMs(1);
    return waitedMs > Math.max(LEAST_OVERDUE_MS, OVERDUE * expectedMs);
  }

  private static double median(Collection<UpstreamAccount> accounts) {
    double[] times =
        accounts.stream()
            .filter(a -> a.speed().tokenSamples() >= MIN_SAMPLES)
            .mapToDouble(StragglerDetector::comparable)
            .sorted()
            .toArray();
    return times.length < MIN_ENGINES ? 0 : times[times.length / 2];
  }

  private static double comparable(UpstreamAccount account) {
    return account.speed().decodeMs() / (1 + SLOPE * account.inFlightCount());
  }
}
