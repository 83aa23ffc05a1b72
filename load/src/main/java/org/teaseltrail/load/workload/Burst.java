package org.teaseltrail.load.workload;

/**
 * Is a time in which all kinds arrive more often.
 *
 * @param fromNs its start, from the start of the run
 * @param toNs its end
 * @param factor how many times more often
 */
public record Burst(long fromNs, long toNs, double factor) {

  /** Returns the factor at a time: one outside the burst. */
  public double factorAt(long atNs) {
    return atNs >= fromNs && atNs < toNs ? factor : 1;
  }
}
