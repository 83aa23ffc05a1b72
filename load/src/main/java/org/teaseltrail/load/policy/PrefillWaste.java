package org.teaseltrail.load.policy;

/** Says why prompt processing was wasted. */
public enum PrefillWaste {
  /** No engine held the prefix any more. */
  REPEATED_EVICTED("evicted"),
  /** Some engine held the prefix, and the request ran on another, or before it was stored. */
  REPEATED_ELSEWHERE("elsewhere"),
  /** The caller hung up. */
  DISCARDED_CANCEL("hung up"),
  /** The upstream failed. */
  DISCARDED_FAILURE("failed"),
  /** The answer came after its useful deadline, or not before the run's end. */
  DISCARDED_LATE("late");

  private final String label;

  PrefillWaste(String label) {
    this.label = label;
  }

  /** Returns the name in reports. */
  public String label() {
    return label;
  }
}
