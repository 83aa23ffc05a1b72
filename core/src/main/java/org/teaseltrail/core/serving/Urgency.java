package org.teaseltrail.core.serving;

import java.util.Comparator;

/**
 * Says who goes first among requests that wait for a place: by the customer's rank, then those that
 * can still be answered on time, then by the route's rank.
 *
 * <p>Under more load than fits, a line that is served strictly as it came makes every request late.
 * Those that are late already give way: an answer on time is worth three to four times a late one
 * to the users.
 *
 * @param customerRank rank of the customer, 0 the highest
 * @param late whether the objective can no longer be met
 * @param routeRank rank of the route, 0 the highest
 */
public record Urgency(int customerRank, boolean late, int routeRank)
    implements Comparable<Urgency> {

  private static final Comparator<Urgency> MOST_URGENT_FIRST =
      Comparator.comparingInt(Urgency::customerRank)
          .thenComparing(Urgency::late)
          .thenComparingInt(Urgency::routeRank);

  @Override
  public int compareTo(Urgency other) {
    return MOST_URGENT_FIRST.compare(this, other);
  }
}
