package org.teaseltrail.core.id;

/**
 * Revision number of the accepted configuration; each change increments it by one.
 *
 * @param value the number, zero or greater
 */
public record Revision(long value) implements Comparable<Revision> {

  /** Validates the number. */
  public Revision {
    if (value < 0) {
      throw new InvalidIdException("revision", "is negative");
    }
  }

  @Override
  public int compareTo(Revision other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
