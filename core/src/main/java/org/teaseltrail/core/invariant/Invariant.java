package org.teaseltrail.core.invariant;

/** Checks invariants at run time, regardless of whether Java assertions are enabled. */
public final class Invariant {

  private Invariant() {}

  /**
   * Checks that an invariant holds.
   *
   * @param holds whether it holds
   * @param name the invariant
   * @throws InvariantViolation if it does not hold
   */
  public static void check(boolean holds, InvariantName name) {
    if (!holds) {
      throw new InvariantViolation(name);
    }
  }
}
