package org.teaseltrail.core.quarantine;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;

/**
 * Request that is quarantined and no longer sent to upstreams, because several of them were lost
 * while processing it.
 *
 * @param request fingerprint of the request
 * @param customer the customer that sent it, if known
 * @param heldAtMs log time at which it was quarantined, in milliseconds
 * @param trials number of times it has since been sent to a single upstream as a trial
 */
public record HeldRequest(
    Fingerprint request, Optional<CustomerId> customer, long heldAtMs, int trials) {

  /** Time after which a held request is released, in milliseconds. */
  private static final long HOLD_DURATION_MS = 3_600_000;

  /** Time from the start of the quarantine to each trial, in milliseconds. */
  private static final List<Long> TRIAL_DELAYS_MS = List.of(120_000L, 1_200_000L);

  /**
   * Returns whether the quarantine has expired.
   *
   * @param logTimeMs log time, in milliseconds
   * @return true if the request can be sent to upstreams again
   */
  public boolean isExpired(long logTimeMs) {
    return logTimeMs - heldAtMs > HOLD_DURATION_MS;
  }

  /**
   * Returns whether the request can now be sent to a single upstream as a trial, to find out
   * whether it crashes that one as well.
   *
   * @param logTimeMs log time, in milliseconds
   * @return true if a trial is due
   */
  public boolean isTrialDue(long logTimeMs) {
    return trials < TRIAL_DELAYS_MS.size() && logTimeMs - heldAtMs >= TRIAL_DELAYS_MS.get(trials);
  }

  HeldRequest withTrialCounted() {
    return new HeldRequest(request, customer, heldAtMs, trials + 1);
  }
}
