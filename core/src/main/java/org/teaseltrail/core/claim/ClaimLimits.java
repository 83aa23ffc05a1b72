package org.teaseltrail.core.claim;

/**
 * Bounds what the claims take. The limits are part of the replicated state, so that all members
 * drop the same claims.
 *
 * @param maxClaims claims kept at once; when all of them must be kept, a new one is denied
 * @param finishedRetentionMs log time for which a finished claim is kept
 * @param runningRetentionMs log time after which a running claim that nobody has ended counts as
 *     one that may have run
 */
public record ClaimLimits(int maxClaims, long finishedRetentionMs, long runningRetentionMs) {

  private static final long HOUR_MS = 3_600_000L;

  /** A day of finished claims, an hour for a running one, at most 200,000 of them. */
  public static final ClaimLimits DEFAULT = new ClaimLimits(200_000, 24 * HOUR_MS, HOUR_MS);
}
