package org.teaseltrail.core.rollout;

import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamVersion;

/**
 * Order of an operator to move a service to another version of its upstreams.
 *
 * @param service the service
 * @param to the target version
 * @param durationMs time within which the target version should be in force, in milliseconds
 */
public record RolloutOrder(ServiceId service, UpstreamVersion to, long durationMs) {

  /** Maximum duration of a rollout: one week. */
  private static final long MAX_DURATION_MS = 7 * 24 * 3_600_000L;

  /**
   * Returns whether the duration is in the allowed range.
   *
   * @return false if it is not positive or too long
   */
  public boolean hasValidDuration() {
    return durationMs > 0 && durationMs <= MAX_DURATION_MS;
  }
}
