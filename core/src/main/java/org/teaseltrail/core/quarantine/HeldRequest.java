package org.teaseltrail.core.quarantine;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;

/**
 * Is a request that no upstream gets any longer, as several were lost under it.
 *
 * @param request what is asked for
 * @param customer whose it is, if that is known
 * @param heldAtMs log time at which it was held, in milliseconds
 * @param trials how often it was let go to one upstream since, to see whether that is lost too
 */
public record HeldRequest(
    Fingerprint request, Optional<CustomerId> customer, long heldAtMs, int trials) {

  /** Time for which a request is held, in milliseconds. */
  private static final long HELD_MS = 3_600_000;

  /** Time for which it is held before each trial, in milliseconds. */
  private static final List<Long> TRIALS_AFTER_MS = List.of(120_000L, 1_200_000L);

  /**
   * Tells whether it has been held long enough.
   *
   * @param logTimeMs log time, in milliseconds
   * @return true if it may go to upstreams again
   */
  public boolean isExpired(long logTimeMs) {
    return logTimeMs - heldAtMs > HELD_MS;
  }

  /**
   * Tells whether it may go to one upstream now, to see whether that is lost too.
   *
   * @param logTimeMs log time, in milliseconds
   * @return true if a trial is due
   */
  public boolean isTrialDue(long logTimeMs) {
    return trials < TRIALS_AFTER_MS.size() && logTimeMs - heldAtMs >= TRIALS_AFTER_MS.get(trials);
  }

  HeldRequest withTrialCounted() {
    return new HeldRequest(request, customer, heldAtMs, trials + 1);
  }
}
