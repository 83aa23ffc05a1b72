package org.teaseltrail.load.http;

import org.teaseltrail.standin.model.AnswerLength;
import org.teaseltrail.standin.model.AnswerText;

/**
 * Computes the response that a stand-in (simulated upstream) generates for a prompt, so that
 * received responses can be validated.
 */
final class ExpectedAnswer {

  private ExpectedAnswer() {}

  /**
   * Returns the complete response text.
   *
   * @param prompt the prompt
   * @param maxTokens maximum number of tokens that the caller requests
   * @param length how the stand-ins choose the length of a response
   */
  static String text(String prompt, int maxTokens, AnswerLength length) {
    long seed = AnswerText.seedOf(prompt);
    return AnswerText.text(seed, 0, length.tokens(seed, maxTokens));
  }
}
