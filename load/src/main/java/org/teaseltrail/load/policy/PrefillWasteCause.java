package org.teaseltrail.load.policy;

/** Reason why prompt processing (prefill) was wasted. */
public enum PrefillWasteCause {
  /** Repeated, because no engine had the prefix in its cache any longer. */
  REPEATED_EVICTED("evicted"),
  /**
   * Repeated, although some engine had the prefix cached: the request ran on another engine, or
   * before the prefix was stored.
   */
  REPEATED_ELSEWHERE("elsewhere"),
  /** Discarded, because the caller disconnected. */
  DISCARDED_CANCEL("hung up"),
  /** Discarded, because the upstream failed. */
  DISCARDED_FAILURE("failed"),
  /**
   * Discarded, because the response arrived after its useful deadline or not before the end of the
   * run.
   */
  DISCARDED_LATE("late");

  private final String label;

  PrefillWasteCause(String label) {
    this.label = label;
  }

  /** Returns the label in reports. */
  public String label() {
    return label;
  }
}
