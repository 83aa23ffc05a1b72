package org.teaseltrail.load.workload;

/**
 * Interval during which requests of all kinds arrive at a higher rate.
 *
 * @param fromNs its start (inclusive), relative to the start of the run
 * @param toNs its end (exclusive)
 * @param factor factor on the arrival rate
 */
public record Burst(long fromNs, long toNs, double factor) {

  /** Returns the factor at the given time, which is one outside the burst. */
  public double factorAt(long atNs) {
    return atNs >= fromNs && atNs < toNs ? factor : 1;
  }
}
