package org.teaseltrail.standin.model;

/** Says how long an engine's answers are. */
public enum AnswerLength {
  /** As long as the request allows. */
  EXACT {
    @Override
    public int tokens(long answerSeed, int maxTokens) {
      return maxTokens;
    }
  },
  /** Between half of what the request allows and all of it, told by the answer's seed. */
  VARIED {
    @Override
    public int tokens(long answerSeed, int maxTokens) {
      int leastTokens = (maxTokens + 1) / 2;
      int span = maxTokens - leastTokens + 1;
      return leastTokens + (int) Long.remainderUnsigned(AnswerText.mix(answerSeed, -1), span);
    }
  };

  /**
   * Returns how long an answer is.
   *
   * @param answerSeed the answer's seed
   * @param maxTokens what the request allows, one or greater
   * @return the length in tokens, from one to the most allowed
   */
  public abstract int tokens(long answerSeed, int maxTokens);
}
