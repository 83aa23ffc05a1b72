package org.teaseltrail.core.rollout;

/** Says what an answer can show of its upstream's version. */
public enum Symptom {
  /** It failed. */
  FAILURE(RolloutReason.FAILURES, 0.02),
  /** It began late. */
  LATE_START(RolloutReason.SLOW_START, 0.15),
  /** Its events came slowly. */
  SLOW_STREAM(RolloutReason.SLOW_STREAM, 0.05);

  private final RolloutReason reason;
  private final double toleratedShare;

  Symptom(RolloutReason reason, double toleratedShare) {
    this.reason = reason;
    this.toleratedShare = toleratedShare;
  }

  /** Returns why a version that shows it is rolled back. */
  RolloutReason reason() {
    return reason;
  }

  /** Returns the share of answers that may show it beside what the versions before show. */
  double toleratedShare() {
    return toleratedShare;
  }
}
