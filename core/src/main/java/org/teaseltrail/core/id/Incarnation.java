package org.teaseltrail.core.id;

/**
 * Incarnation number of a process: each start of the process under the same id gets a greater
 * number.
 *
 * @param value the number, zero or greater
 */
public record Incarnation(long value) implements Comparable<Incarnation> {

  /** Validates the number. */
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
