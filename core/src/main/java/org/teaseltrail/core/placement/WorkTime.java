package org.teaseltrail.core.placement;

/** Rules for the time that work takes at an upstream, in percent of its usual time. */
public final class WorkTime {

  /** The usual time. */
  public static final int USUAL_PERCENT = 100;

  /** Shortest plausible time: a machine does not become ten times as fast. */
  private static final int MIN_PERCENT = 10;

  /** Longest plausible time: work that takes longer is as good as stopped. */
  private static final int MAX_PERCENT = 10_000;

  private WorkTime() {}

  /**
   * Returns whether a figure can be a work time.
   *
   * @param percent the figure, in percent of the usual time
   * @return false if it must be ignored
   */
  public static boolean isPlausible(double percent) {
    return percent >= MIN_PERCENT && percent <= MAX_PERCENT;
  }
}
