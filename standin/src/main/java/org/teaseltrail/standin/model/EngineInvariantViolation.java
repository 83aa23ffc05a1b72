package org.teaseltrail.standin.model;

/** Tells that an invariant of a model does not hold: a fault of the model, never of its input. */
public class EngineInvariantViolation extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  /**
   * Makes the failure.
   *
   * @param invariant the invariant
   */
  public EngineInvariantViolation(EngineInvariant invariant) {
    super(invariant.name());
  }
}
