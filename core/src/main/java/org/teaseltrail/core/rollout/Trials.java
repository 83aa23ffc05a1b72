package org.teaseltrail.core.rollout;

/**
 * Is how many of some answers showed a symptom.
 *
 * @param answers the answers
 * @param bad those that showed it
 */
public record Trials(int answers, int bad) {

  static final Trials NONE = new Trials(0, 0);

  static Trials one(boolean bad) {
    return new Trials(1, bad ? 1 : 0);
  }

  Trials plus(Trials other) {
    return new Trials(answers + other.answers, bad + other.bad);
  }

  double share() {
    return answers == 0 ? 0 : (double) bad / answers;
  }
}
