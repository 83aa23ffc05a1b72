package org.teaseltrail.core.id;

/**
 * Numbers the accepted configurations; each change adds one.
 *
 * @param value the number, zero or greater
 */
public record Revision(long value) implements Comparable<Revision> {

  /** Checks the number. */
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
