package org.teaseltrail.core.invariant;

/** Tells that an invariant does not hold: a fault of the program, never of its input. */
public final class InvariantViolation extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  private final InvariantName name;

  /** Creates the failure for the invariant. */
  public InvariantViolation(InvariantName name) {
    super(name.toString());
    this.name = name;
  }

  /**
   * Returns which invariant does not hold.
   *
   * @return the invariant
   */
  public InvariantName name() {
    return name;
  }
}
