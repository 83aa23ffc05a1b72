package org.teaseltrail.core.id;

/**
 * Is the rank of a tier that customers pay for.
 *
 * @param rank one for the tier that is served first, growing from there
 */
public record Tier(int rank) implements Comparable<Tier> {

  /** The greatest rank a deployment may use; the two-year size has five tiers. */
  public static final int MAX_RANK = 16;

  /** Checks the rank. */
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
