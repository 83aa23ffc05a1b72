package org.teaseltrail.core.schedule.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Detects engines that have become slow or unresponsive, by comparing their time per generated or
 * processed token with the pool's median. An undetected straggler takes many times longer than
 * others for each request it receives, so single answers are slow while the rest of the pool is
 * fast. The scheduler measures the times itself, on answers, so an engine that reports itself
 * healthy is detected as well.
 */
final class StragglerDetector {

  /**
   * Ratio to the median from which an engine counts as slow. Healthy engines of one pool differ by
   * up to a factor of 2.
   */
  private static final double SLOW = 2.5;

  /** Ratio to the median from which an engine receives only probes. */
  private static final double PROBED = 3.5;

  /** Factor on a threshold below which the ratio must fall for the engine to count as recovered. */
  private static final double RECOVERY_FACTOR = 0.8;

  /** Minimum number of samples of an engine for it to be included in the comparison. */
  private static final int MIN_SAMPLES = 4;

  /** Minimum number of such engines for a comparison. */
  private static final int MIN_ENGINES = 3;

  /**
   * Assumed relative increase of the step time per sequence of the batch, which the comparison
   * corrects for.
   */
  private static final double SLOPE = 0.02;

  /** Minimum time without a first token after which an engine counts as silent, in milliseconds. */
  private static final double MIN_SILENCE_MS = 3_000;

  /** Multiple of the expected time to the first token after which an engine counts as silent. */
  private static final double SILENCE_FACTOR = 5;

  private static final double NS_PER_MS = 1e6;

  /** Updates the speed state of every upstream, and returns the changes. */
  List<SpeedStateChange> review(Collection<TrackedUpstream> accounts, long nowNs) {
    double medianDecode = median(accounts, StragglerDetector::decodeMs);
    double medianPrefill = median(accounts, StragglerDetector::prefillUs);
    List<SpeedStateChange> changes = new ArrayList<>();
    for (TrackedUpstream account : accounts) {
      double decodeRatio = ratio(decodeMs(account), medianDecode);
      double prefillRatio = ratio(prefillUs(account), medianPrefill);
      double ratio = Math.max(decodeRatio, prefillRatio);
      SpeedState next = isSilent(account, nowNs) ? SpeedState.PROBED : classify(account, ratio);
      if (next != account.state()) {
        changes.add(new SpeedStateChange(account.id(), account.state(), next, ratio));
        account.setState(next);
      }
    }
    return changes;
  }

  private static double ratio(double value, double median) {
    return median > 0 ? value / median : 0;
  }

  private static SpeedState classify(TrackedUpstream account, double ratio) {
    double probedFrom = account.state() == SpeedState.PROBED ? PROBED * RECOVERY_FACTOR : PROBED;
    double slowFrom = account.state() == SpeedState.ORDINARY ? SLOW : SLOW * RECOVERY_FACTOR;
    if (ratio >= probedFrom) {
      return SpeedState.PROBED;
    }
    return ratio >= slowFrom ? SpeedState.SLOW : SpeedState.ORDINARY;
  }

  private static boolean isSilent(TrackedUpstream account, long nowNs) {
    InFlightRequest oldest = account.inFlightTracker().oldestWithoutFirstToken();
    if (oldest == null) {
      return false;
    }
    double waitedMs = (nowNs - oldest.grantedNs()) / NS_PER_MS;
    double tokens = oldest.prefillAheadTokens() + oldest.prefillTokens();
    double expectedMs = tokens * account.prefillUs() / 1_000 + account.stepMs(1);
    return waitedMs > Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * expectedMs);
  }

  private static double median(
      Collection<TrackedUpstream> accounts, ToDoubleFunction<TrackedUpstream> measure) {
    double[] values = accounts.stream().mapToDouble(measure).filter(v -> v > 0).sorted().toArray();
    return values.length < MIN_ENGINES ? 0 : values[values.length / 2];
  }

  /** Returns the time per token corrected for the batch size; zero if there are too few samples. */
  private static double decodeMs(TrackedUpstream account) {
    SpeedMeter speed = account.speed();
    boolean known = speed.decodeSamples() >= MIN_SAMPLES;
    return known ? speed.decodeMs() / (1 + SLOPE * account.inFlightCount()) : 0;
  }

  /** Returns the time to process a prompt token; zero if there are too few samples. */
  private static double prefillUs(TrackedUpstream account) {
    SpeedMeter speed = account.speed();
    return speed.prefillSamples() >= MIN_SAMPLES ? speed.prefillUs() : 0;
  }
}
