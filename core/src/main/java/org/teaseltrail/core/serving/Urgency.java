package org.teaseltrail.core.serving;

import java.util.Comparator;

/**
 * Scheduling priority of a request that waits for a slot. The order is by the customer's rank, then
 * requests that can still meet their latency objective before those that can't, then by the route's
 * rank.
 *
 * <p>Under overload, a queue in strict arrival order makes every request late. Requests that are
 * already late therefore yield to the others: to users, an answer on time is worth three to four
 * times a late one.
 *
 * @param customerRank rank of the customer, 0 the highest
 * @param late whether the request can no longer meet its objective
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
