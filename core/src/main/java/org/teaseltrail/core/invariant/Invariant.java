package org.teaseltrail.core.invariant;

/** Asserts inside the running program what users rely on. */
public final class Invariant {

  private Invariant() {}

  /**
   * Checks that an invariant holds.
   *
   * @param holds whether it holds
   * @param name which one
   * @throws InvariantViolation if it does not hold
   */
  public static void check(boolean holds, InvariantName name) {
    if (!holds) {
      throw new InvariantViolation(name);
    }
  }
}
