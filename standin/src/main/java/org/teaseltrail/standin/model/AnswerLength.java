package org.teaseltrail.standin.model;

/** Rule for the length of the answers that an engine generates. */
public enum AnswerLength {
  /** Every answer has the request's maximum length. */
  EXACT {
    @Override
    public int tokens(long answerSeed, int maxTokens) {
      return maxTokens;
    }
  },
  /** Between half of the request's maximum and all of it, derived from the answer's seed. */
  VARIED {
    @Override
    public int tokens(long answerSeed, int maxTokens) {
      int minTokens = (maxTokens + 1) / 2;
      int span = maxTokens - minTokens + 1;
      return minTokens
          + (int) Long.remainderUnsigned(AnswerTextGenerator.mix(answerSeed, -1), span);
    }
  };

  /**
   * Returns the length of an answer.
   *
   * @param answerSeed the answer's seed
   * @param maxTokens the request's maximum, one or greater
   * @return the length in tokens, from one to {@code maxTokens}
   */
  public abstract int tokens(long answerSeed, int maxTokens);
}
