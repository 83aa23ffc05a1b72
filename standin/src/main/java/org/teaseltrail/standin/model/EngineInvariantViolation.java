package org.teaseltrail.standin.model;

/** Thrown when an invariant of a model doesn't hold, which is a bug in the model, not its input. */
public class EngineInvariantViolation extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param invariant the invariant
   */
  public EngineInvariantViolation(EngineInvariant invariant) {
    super(invariant.name());
  }
}
