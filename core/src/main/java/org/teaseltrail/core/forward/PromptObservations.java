package org.teaseltrail.core.forward;

import org.teaseltrail.core.placement.ServiceTimes;

/** What this VM observed of the prompts of one service. */
final class PromptObservations {

  /** Weight of the newest observation: about twenty dominate. */
  private static final double OBSERVATION_WEIGHT = 0.05;

  /** Bound on the correction of the estimate, in either direction. */
  private static final double MAX_SCALE = 8;

  private double meanTokens = ServiceTimes.TYPICAL_PROMPT_TOKENS;
  private double logScale;

  void recordPrompt(int tokens) {
    meanTokens += OBSERVATION_WEIGHT * (tokens - meanTokens);
  }

  /** Corrects later estimates by the ratio of an actual time to a first event to the expected. */
  void recordFirstEvent(double expectedMs, double actualMs) {
    if (expectedMs <= 0 || actualMs <= 0) {
      return;
    }
    double limit = StrictMath.log(MAX_SCALE);
    double newer = logScale + OBSERVATION_WEIGHT * StrictMath.log(actualMs / expectedMs);
    logScale = Math.max(-limit, Math.min(limit, newer));
  }

  ServiceTimes times(double eventMs) {
    return new ServiceTimes(eventMs, meanTokens, StrictMath.exp(logScale));
  }
}
