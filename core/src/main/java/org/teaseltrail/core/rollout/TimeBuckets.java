package org.teaseltrail.core.rollout;

/** Maps durations to logarithmic buckets; each is about a quarter longer than the one below. */
public final class TimeBuckets {

  /** Number of buckets per doubling of the duration. */
  private static final double BUCKETS_PER_DOUBLING = 3;

  private static final double LOG_2 = StrictMath.log(2);

  private TimeBuckets() {}

  /**
   * Returns the bucket of a duration.
   *
   * @param elapsedMs the duration, in milliseconds
   * @return the index of the bucket, 0 for one millisecond and less
   */
  public static int of(double elapsedMs) {
    double doublings = StrictMath.log(Math.max(1, elapsedMs)) / LOG_2;
    return (int) Math.round(doublings * BUCKETS_PER_DOUBLING);
  }
}
