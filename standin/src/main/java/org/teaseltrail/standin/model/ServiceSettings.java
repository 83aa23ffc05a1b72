package org.teaseltrail.standin.model;

import org.teaseltrail.core.id.ServiceId;

/**
 * Sets up the model of a plain service.
 *
 * @param identity who it is
 * @param service the service it answers for
 * @param reporting how it tells of itself; it has no cache events
 * @param medianMs median time of a call, in milliseconds
 * @param sigma standard deviation of the logarithm of that time
 * @param maxRunning calls that run at once; the others wait in order
 * @param stragglerFactor how many times longer calls take
 * @param seed of all that is random
 */
public record ServiceSettings(
    UpstreamIdentity identity,
    ServiceId service,
    ReportingProfile reporting,
    double medianMs,
    double sigma,
    int maxRunning,
    double stragglerFactor,
    long seed) {

  /** Checks the figures. */
  public ServiceSettings {
    if (medianMs <= 0 || sigma < 0 || maxRunning < 1 || stragglerFactor <= 0) {
      throw new IllegalArgumentException("figures must be positive");
    }
  }
}
