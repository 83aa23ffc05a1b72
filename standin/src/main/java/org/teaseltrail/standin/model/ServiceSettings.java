package org.teaseltrail.standin.model;

import org.teaseltrail.core.id.ServiceId;

/**
 * Configuration of the model of a plain service.
 *
 * @param identity the identity of the upstream
 * @param service the service that it provides
 * @param reporting timing of its announcements; it sends no cache events
 * @param medianMs median duration of a call, in milliseconds
 * @param sigma standard deviation of the logarithm of the duration
 * @param maxRunning maximum number of concurrent calls; more are queued in the order of arrival
 * @param stragglerFactor multiplier of the duration of calls
 * @param seed seed of the random generator
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

  /** Validates the values. */
  public ServiceSettings {
    if (medianMs <= 0 || sigma < 0 || maxRunning < 1 || stragglerFactor <= 0) {
      throw new IllegalArgumentException(
          "medianMs, maxRunning and stragglerFactor must be positive, sigma not negative");
    }
  }
}
