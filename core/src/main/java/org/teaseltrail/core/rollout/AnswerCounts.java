package org.teaseltrail.core.rollout;

/**
 * Number of observed answers and of those that show a symptom.
 *
 * @param answers number of answers
 * @param bad number of answers that show the symptom
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
