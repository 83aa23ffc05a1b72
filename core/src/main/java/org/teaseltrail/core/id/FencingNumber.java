package org.teaseltrail.core.id;

/**
 * Grows with each leadership, so that a receiver can refuse what an older leader sent.
 *
 * @param value the number, zero or greater
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {

  /** Checks the number. */
  public FencingNumber {
    if (value < 0) {
      throw new InvalidIdException("fencing number", "is negative");
    }
  }

  @Override
  public int compareTo(FencingNumber other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
