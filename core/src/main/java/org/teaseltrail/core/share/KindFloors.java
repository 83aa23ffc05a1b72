package org.teaseltrail.core.share;

/**
 * Floors of slots for kinds of requests: all waiting kinds that are less urgent than the most
 * urgent waiting one are due a fraction of a service's slots together, in equal parts.
 *
 * <p>Slots in use are counted, not grants. A kind whose requests are short needs many grants to
 * occupy its floor, and a kind whose requests are long can't exceed it by much.
 *
 * @param slotCount number of slots of the service
 * @param kinds number of less urgent kinds that wait
 * @param lessUrgentInUse slots in use by these kinds together
 */
public record KindFloors(int slotCount, int kinds, long lessUrgentInUse) {

  /** Fraction of the slots that less urgent kinds are due together. */
  private static final double LESS_URGENT_RATIO = 0.25;

  /**
   * Returns whether a less urgent kind is due the next slot.
   *
   * @param inUse slots in use by the kind
   * @param isTurn whether it is the turn of less urgent kinds; matters only where they are due less
   *     than one slot, as any slot that they occupy exceeds that
   * @return true if the kind occupies less than its floor
   */
  public boolean isDue(long inUse, boolean isTurn) {
    double allKinds = LESS_URGENT_RATIO * slotCount;
    double floor = allKinds / kinds;
    boolean hasWholeSlot = floor >= 1 || lessUrgentInUse + 1 <= allKinds;
    return inUse < floor && (hasWholeSlot || isTurn);
  }
}
