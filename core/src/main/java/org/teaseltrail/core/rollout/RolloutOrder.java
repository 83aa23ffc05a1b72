package org.teaseltrail.core.rollout;

import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamVersion;

/**
 * Is an operator's order to move a service to another version of its upstreams.
 *
 * @param service the service
 * @param to the version to move to
 * @param durationMs time within which it should be in force, in milliseconds
 */
public record RolloutOrder(ServiceId service, UpstreamVersion to, long durationMs) {

  /** Longest time of a rollout: a week. */
  private static final long MOST_DURATION_MS = 7 * 24 * 3_600_000L;

  /**
   * Tells whether its time makes sense.
   *
   * @return false if it has none, or an absurd one
   */
  public boolean hasValidDuration() {
    return durationMs > 0 && durationMs <= MOST_DURATION_MS;
  }
}
