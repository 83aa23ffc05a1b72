package org.teaseltrail.core.invariant;

/**
 * Tells that an invariant was about to be broken; the step that would have done so is not taken.
 */
public final class InvariantViolation extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  private final InvariantName name;

  /** Creates the failure for an invariant. */
  public InvariantViolation(InvariantName name) {
    super("invariant violated: " + name);
    this.name = name;
  }

  /** Returns the invariant that was violated. */
  public InvariantName name() {
    return name;
  }
}
