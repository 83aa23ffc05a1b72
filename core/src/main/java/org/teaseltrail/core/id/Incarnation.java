package org.teaseltrail.core.id;

/**
 * Numbers the lives of a process under one id; a later life has the greater number.
 *
 * @param value the number, zero or greater
 */
public record Incarnation(long value) implements Comparable<Incarnation> {

  /** Checks the number. */
  public Incarnation {
    if (value < 0) {
      throw new InvalidIdException("incarnation", "is negative");
    }
  }

  @Override
  public int compareTo(Incarnation other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
