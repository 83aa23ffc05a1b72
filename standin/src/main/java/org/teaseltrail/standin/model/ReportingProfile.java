package org.teaseltrail.standin.model;

/**
 * Says how an upstream tells of itself, and how late.
 *
 * @param announceIntervalMs time between announcements, in milliseconds
 * @param announcementLifetimeMs how long an announcement is good for, in milliseconds
 * @param loadLagMs least age of the load in an announcement, in milliseconds
 * @param cacheEventIntervalMs time over which changes of the cache are put into one event, in
 *     milliseconds
 * @param cacheEventLagMs how late a cache event goes out, in milliseconds
 * @param cacheEventGapRate part of the cache events that are lost, from zero to one
 */
public record ReportingProfile(
    long announceIntervalMs,
    long announcementLifetimeMs,
    long loadLagMs,
    long cacheEventIntervalMs,
    long cacheEventLagMs,
    double cacheEventGapRate) {

  /** Checks the figures. */
  public ReportingProfile {
    if (announceIntervalMs < 1 || announcementLifetimeMs < announceIntervalMs) {
      throw new IllegalArgumentException("an announcement must outlive the interval");
    }
    if (loadLagMs < 0 || cacheEventIntervalMs < 1 || cacheEventLagMs < 0) {
      throw new IllegalArgumentException("lags must not be negative");
    }
    if (cacheEventGapRate < 0 || cacheEventGapRate > 1) {
      throw new IllegalArgumentException("the gap rate must lie between zero and one");
    }
  }

  /**
   * Returns usual figures: announcements each second, load and cache events late by some hundred
   * milliseconds, one cache event in a hundred lost.
   *
   * @return the profile
   */
  public static ReportingProfile standard() {
    return new ReportingProfile(1_000, 3_000, 500, 200, 300, 0.01);
  }
}
