package org.teaseltrail.core.id;

/**
 * Rank of a service tier that customers pay for.
 *
 * @param rank one for the tier that is served first; lower tiers have greater numbers
 */
public record Tier(int rank) implements Comparable<Tier> {

  /** Maximum rank; the size planned for in two years needs five tiers. */
  public static final int MAX_RANK = 16;

  /** Validates the rank. */
  public Tier {
    if (rank < 1 || rank > MAX_RANK) {
      throw new InvalidIdException("tier", "is not between 1 and " + MAX_RANK);
    }
  }

  /** Returns whether this tier is served before the other. */
  public boolean isHigherThan(Tier other) {
    return rank < other.rank;
  }

  @Override
  public int compareTo(Tier other) {
    return Integer.compare(rank, other.rank);
  }

  @Override
  public String toString() {
    return "t" + rank;
  }
}
