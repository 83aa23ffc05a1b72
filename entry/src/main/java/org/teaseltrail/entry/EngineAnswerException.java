package org.teaseltrail.entry;

/** Thrown when an engine responds with something other than a stream. */
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
