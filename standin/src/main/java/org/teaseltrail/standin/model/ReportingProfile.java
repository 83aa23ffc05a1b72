package org.teaseltrail.standin.model;

/**
 * Timing, delay and loss of the reports that an upstream sends about itself.
 *
 * @param announceIntervalMs time between announcements, in milliseconds
 * @param announcementLifetimeMs time for which an announcement is valid, in milliseconds
 * @param loadLagMs minimum age of the load in an announcement, in milliseconds
 * @param cacheEventIntervalMs time over which cache changes are collected into one event, in
 *     milliseconds
 * @param cacheEventLagMs delay of a cache event, in milliseconds
 * @param cacheEventGapRate fraction of the cache events that are lost, from zero to one
 */
public record ReportingProfile(
    long announceIntervalMs,
    long announcementLifetimeMs,
    long loadLagMs,
    long cacheEventIntervalMs,
    long cacheEventLagMs,
    double cacheEventGapRate) {

  /** Validates the values. */
  public ReportingProfile {
    if (announceIntervalMs < 1 || announcementLifetimeMs < announceIntervalMs) {
      throw new IllegalArgumentException(
          "announceIntervalMs must be positive and not exceed announcementLifetimeMs");
    }
    if (loadLagMs < 0 || cacheEventIntervalMs < 1 || cacheEventLagMs < 0) {
      throw new IllegalArgumentException(
          "loadLagMs and cacheEventLagMs must be at least 0, cacheEventIntervalMs at least 1");
    }
    if (cacheEventGapRate < 0 || cacheEventGapRate > 1) {
      throw new IllegalArgumentException("cacheEventGapRate must be between 0 and 1");
    }
  }

  /**
   * Returns the default profile: an announcement each second, load and cache events delayed by some
   * hundred milliseconds, one cache event in a hundred lost.
   *
   * @return the profile
   */
  public static ReportingProfile standard() {
    return new ReportingProfile(1_000, 3_000, 500, 200, 300, 0.01);
  }
}
