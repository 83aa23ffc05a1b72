package org.teaseltrail.entry;

/** Thrown when an engine responds with something other than a stream. */
final class EngineStatusException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final EngineStreamOutcome streamOutcome;

  EngineStatusException(EngineStreamOutcome answer) {
    super(answer.name(), null, false, false);
    this.streamOutcome = answer;
  }

  EngineStreamOutcome streamOutcome() {
    return streamOutcome;
  }
}
