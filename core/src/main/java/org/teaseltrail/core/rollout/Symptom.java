package org.teaseltrail.core.rollout;

/** Symptom of a faulty version that an answer can show. */
public enum Symptom {
  /** The answer failed. */
  FAILURE(RolloutReason.FAILURES, 0.02),
  /** The answer started late. */
  LATE_START(RolloutReason.SLOW_START, 0.15),
  /** The events of the answer arrived slowly. */
  SLOW_STREAM(RolloutReason.SLOW_STREAM, 0.05);

  private final RolloutReason reason;
  private final double toleratedShare;

  Symptom(RolloutReason reason, double toleratedShare) {
    this.reason = reason;
    this.toleratedShare = toleratedShare;
  }

  /** Returns the reason with which a version that shows the symptom is rolled back. */
  RolloutReason reason() {
    return reason;
  }

  /** Returns the share of answers that may show it in addition to that of previous versions. */
  double toleratedShare() {
    return toleratedShare;
  }
}
