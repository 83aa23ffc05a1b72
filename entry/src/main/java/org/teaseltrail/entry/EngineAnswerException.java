package org.teaseltrail.entry;

/** Carries an engine's answer that is no stream. */
final class EngineAnswerException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final EngineAnswer answer;

  EngineAnswerException(EngineAnswer answer) {
    super(answer.name(), null, false, false);
    this.answer = answer;
  }

  EngineAnswer answer() {
    return answer;
  }
}
