package org.teaseltrail.core.id;

/**
 * Fencing token that increases with each leadership, so that receivers can reject messages of an
 * earlier leader.
 *
 * @param value the number, zero or greater
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {

  /** Validates the number. */
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
