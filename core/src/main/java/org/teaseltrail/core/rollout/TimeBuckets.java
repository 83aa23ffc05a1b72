package org.teaseltrail.core.rollout;

/** Sorts times into buckets, each a quarter longer than the one before. */
public final class TimeBuckets {

  /** Buckets in which a time doubles. */
  private static final double PER_DOUBLING = 3;

  private static final double LOG_2 = Math.log(2);

  private TimeBuckets() {}

  /**
   * Returns a time's bucket.
   *
   * @param elapsedMs the time, in milliseconds
   * @return its number, from 0 for a millisecond and less
   */
  public static int of(double elapsedMs) {
    double doublings = Math.log(Math.max(1, elapsedMs)) / LOG_2;
    return (int) Math.round(doublings * PER_DOUBLING);
  }
}
