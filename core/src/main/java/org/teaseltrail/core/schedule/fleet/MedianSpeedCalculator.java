package org.teaseltrail.core.schedule.fleet;

import java.util.Arrays;
import java.util.Collection;
import java.util.function.ToDoubleFunction;
import org.teaseltrail.core.schedule.ticket.EngineSpeed;

/** Calculates the speed of a typical engine of a pool: the medians over its upstreams. */
final class MedianSpeedCalculator {

  private static final double US_PER_MS = 1_000;

  private MedianSpeedCalculator() {}

  /** Returns the medians over the measured upstreams, or assumed values while none is measured. */
  static EngineSpeed calculate(Collection<TrackedUpstream> accounts) {
    double prefillUs = median(accounts, a -> a.speed().prefillUs());
    double stepMs = median(accounts, MedianSpeedCalculator::fullStepMs);
    double decodeUs = median(accounts, a -> a.speed().decodeMs() * US_PER_MS / maxBatch(a));
    EngineSpeed assumed = EngineSpeed.ASSUMED;
    return new EngineSpeed(
        prefillUs > 0 ? prefillUs : assumed.prefillUs(),
        decodeUs > 0 ? decodeUs : assumed.decodeUs(),
        stepMs > 0 ? stepMs : assumed.stepMs());
  }

  private static double fullStepMs(TrackedUpstream account) {
    return account.speed().stepMs(maxBatch(account));
  }

  private static int maxBatch(TrackedUpstream account) {
    return account.announcement() == null ? 1 : Math.max(1, account.announcement().maxBatch());
  }

  private static double median(
      Collection<TrackedUpstream> accounts, ToDoubleFunction<TrackedUpstream> measure) {
    double[] values = accounts.stream().mapToDouble(measure).filter(v -> v > 0).toArray();
    Arrays.sort(values);
    return values.length == 0 ? 0 : values[values.length / 2];
  }
}
