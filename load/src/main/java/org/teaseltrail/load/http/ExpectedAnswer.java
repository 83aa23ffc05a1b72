package org.teaseltrail.load.http;

import org.teaseltrail.standin.model.AnswerLength;
import org.teaseltrail.standin.model.AnswerText;

/** Knows what a stand-in answers to a prompt, so that each answer can be checked. */
final class ExpectedAnswer {

  private ExpectedAnswer() {}

  /**
   * Returns the whole answer.
   *
   * @param prompt the prompt
   * @param maxTokens the bound that the caller sets
   * @param length how the stand-ins choose lengths
   */
  static String text(String prompt, int maxTokens, AnswerLength length) {
    long seed = AnswerText.seedOf(prompt);
    return AnswerText.text(seed, 0, length.tokens(seed, maxTokens));
  }
}
