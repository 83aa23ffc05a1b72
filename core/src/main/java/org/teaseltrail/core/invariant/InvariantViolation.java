package org.teaseltrail.core.invariant;

/** Tells that the program found itself in a state that must not be. */
public final class InvariantViolation extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  private final InvariantName name;

  /**
   * Creates the failure.
   *
   * @param name the invariant that does not hold
   */
  public InvariantViolation(InvariantName name) {
    super("invariant does not hold: " + name);
    this.name = name;
  }

  /** Returns the invariant that does not hold. */
  public InvariantName name() {
    return name;
  }
}
