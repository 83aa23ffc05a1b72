package org.teaseltrail.core.claim;

/**
 * Limits the number and the retention of claims. The limits are part of the replicated state, so
 * that all members drop the same claims.
 *
 * @param maxClaims maximum number of claims; when all of them must be kept, new ones are rejected
 * @param finishedRetentionMs log time for which a finished claim is kept
 * @param runningRetentionMs log time after which a running claim without a reported end is marked
 *     as possibly run
 */
public record ClaimLimits(int maxClaims, long finishedRetentionMs, long runningRetentionMs) {

  private static final long HOUR_MS = 3_600_000L;

  /**
   * Retention of 24 hours for finished and of one hour for running claims, at most 200,000 claims.
   */
  public static final ClaimLimits DEFAULT = new ClaimLimits(200_000, 24 * HOUR_MS, HOUR_MS);
}
