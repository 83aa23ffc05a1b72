package org.teaseltrail.core.schedule.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Finds engines that have become slow or silent, by their time per token generated or processed
 * against the pool's median. Guards against a straggler that holds every request it draws many
 * times longer than others would: callers would see single answers crawl while the rest of the pool
 * is quick. The measure is the scheduler's own, from answers, so an engine that reports itself
 * healthy is found too.
 */
final class StragglerDetector {

  /** Ratio to the median from which an engine counts as slow; engines of one pool differ by 2. */
  private static final double SLOW = 2.5;

  /** Ratio from which it gets only probes. */
  private static final double PROBED = 3.5;

  /** Part of a threshold that the ratio must fall below to be believed recovered. */
  private static final double RECOVERY_FACTOR = 0.8;

  /** Fewest samples of one engine, and fewest engines, that a comparison rests on. */
  private static final int MIN_SAMPLES = 4;

  private static final int MIN_ENGINES = 3;

  /** Part by which each sequence of the batch lengthens a step, taken out of the comparison. */
  private static final double SLOPE = 0.02;

  /** Least time without a first token that counts as silence, in milliseconds. */
  private static final double MIN_SILENCE_MS = 3_000;

  /** Multiple of the expected time to a first token that counts as silence. */
  private static final double SILENCE_FACTOR = 5;

  private static final double NS_PER_MS = 1e6;

  /** Judges every upstream, and returns those whose state has changed. */
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

  /** Returns the time per token at an empty batch; zero if too little was seen. */
  private static double decodeMs(TrackedUpstream account) {
    SpeedMeter speed = account.speed();
    boolean known = speed.decodeSamples() >= MIN_SAMPLES;
    return known ? speed.decodeMs() / (1 + SLOPE * account.inFlightCount()) : 0;
  }

  /** Returns the time to process a prompt token; zero if too little was seen. */
  private static double prefillUs(TrackedUpstream account) {
    SpeedMeter speed = account.speed();
    return speed.prefillSamples() >= MIN_SAMPLES ? speed.prefillUs() : 0;
  }
}
