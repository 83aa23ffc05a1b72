package org.teaseltrail.core.rollout;

import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Observation of one symptom at one answer.
 *
 * @param route the route of the request
 * @param upstream the upstream that answered
 * @param ordered whether the upstream runs the target version or a previous one
 * @param symptom the symptom that was measured
 * @param size size class of the request: the bit length of its number of prompt tokens
 * @param value one of the constants of this class for {@link Symptom#FAILURE}; otherwise a bucket
 *     of {@link TimeBuckets}
 */
public record Observation(
    RouteId route, UpstreamId upstream, boolean ordered, Symptom symptom, int size, int value) {

  /** The answer was complete and successful. */
  public static final int GOOD = 0;

  /** The answer reported a failure. */
  public static final int FAILED = 1;

  /** The connection broke before the answer was complete. */
  public static final int BROKEN = 2;

  /**
   * Returns the size class of a request.
   *
   * @param promptTokens number of prompt tokens, 0 if unknown
   * @return its size class
   */
  public static int sizeBucketOf(int promptTokens) {
    return Integer.SIZE - Integer.numberOfLeadingZeros(promptTokens);
  }
}
