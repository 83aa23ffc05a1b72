package org.teaseltrail.load.http;

import org.teaseltrail.standin.model.AnswerLength;
import org.teaseltrail.standin.model.AnswerTextGenerator;

/**
 * Computes the response that a stand-in (simulated upstream) generates for a prompt, so that
 * received responses can be validated.
 */
final class ExpectedResponse {

  private ExpectedResponse() {}

  /**
   * Returns the complete response text.
   *
   * @param prompt the prompt
   * @param maxTokens maximum number of tokens that the caller requests
   * @param length how the stand-ins choose the length of a response
   */
  static String text(String prompt, int maxTokens, AnswerLength length) {
    long seed = AnswerTextGenerator.seedOf(prompt);
    return AnswerTextGenerator.text(seed, 0, length.tokens(seed, maxTokens));
  }
}
