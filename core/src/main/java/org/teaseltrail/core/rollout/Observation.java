package org.teaseltrail.core.rollout;

import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Is what one answer showed of one symptom.
 *
 * @param route the request's route
 * @param upstream which upstream answered
 * @param ordered whether that has the ordered version, or else one of before
 * @param symptom what was looked at
 * @param size the request's size: how often its prompt's tokens double
 * @param value for failures one of the constants here; a bucket of {@link TimeBuckets} otherwise
 */
public record Observation(
    RouteId route, UpstreamId upstream, boolean ordered, Symptom symptom, int size, int value) {

  /** The answer was whole and good. */
  public static final int GOOD = 0;

  /** The answer was a failure. */
  public static final int FAILED = 1;

  /** The answer ended with its connection. */
  public static final int BROKEN = 2;

  /**
   * Returns the size of a request.
   *
   * @param promptTokens tokens of its prompt, 0 if that isn't known
   * @return its size
   */
  public static int sizeBucketOf(int promptTokens) {
    return Integer.SIZE - Integer.numberOfLeadingZeros(promptTokens);
  }
}
