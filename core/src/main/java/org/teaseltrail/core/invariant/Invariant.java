package org.teaseltrail.core.invariant;

/** Asserts invariants in the running program, whether or not the JVM's assertions are on. */
public final class Invariant {

  private Invariant() {}

  /**
   * Checks that an invariant holds.
   *
   * @param holds whether it holds
   * @param name which invariant it is
   * @throws InvariantViolation if it does not hold
   */
  public static void check(boolean holds, InvariantName name) {
    if (!holds) {
      throw new InvariantViolation(name);
    }
  }
}
