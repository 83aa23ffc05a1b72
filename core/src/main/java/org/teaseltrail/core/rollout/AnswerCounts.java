package org.teaseltrail.core.rollout;

/**
 * Is how many of some answers showed a symptom.
 *
 * @param answers the answers
 * @param bad those that showed it
 */
public record AnswerCounts(int answers, int bad) {

  static final AnswerCounts NONE = new AnswerCounts(0, 0);

  static AnswerCounts one(boolean bad) {
    return new AnswerCounts(1, bad ? 1 : 0);
  }

  AnswerCounts plus(AnswerCounts other) {
    return new AnswerCounts(answers + other.answers, bad + other.bad);
  }

  double share() {
    return answers == 0 ? 0 : (double) bad / answers;
  }
}
