package org.teaseltrail.core.invariant;

/** Thrown when an invariant does not hold, which is always a bug and never caused by the input. */
public final class InvariantViolation extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  private final InvariantName name;

  /** Creates the exception for an invariant. */
  public InvariantViolation(InvariantName name) {
    super(name.toString());
    this.name = name;
  }

  /**
   * Returns the invariant that does not hold.
   *
   * @return the invariant
   */
  public InvariantName name() {
    return name;
  }
}
