package org.teaseltrail.core.invariant;

/** Checks at run time what must always hold, so that a fault stops the program, not its users. */
public final class Invariant {

  private Invariant() {}

  /**
   * Checks an invariant.
   *
   * @param holds whether it holds
   * @param name which invariant
   * @throws InvariantViolation if it does not hold
   */
  public static void check(boolean holds, InvariantName name) {
    if (!holds) {
      throw new InvariantViolation(name);
    }
  }
}
