package org.teaseltrail.core.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Is a customer's quota as one VM sees it: what was used here within the window, what the leader
 * says was used elsewhere, and what the leader allows this VM until it tells again.
 *
 * <p>Guards against a quota that is overrun by VMs that don't hear of each other, as those that are
 * cut off or that have lost their leader: a customer would run its whole quota at each of them.
 * What the leader allows adds up to the quota over all VMs and stays set aside for a silent one, so
 * a VM may use up its allowance whenever it likes, and nothing beyond it.
 */
final class QuotaWindow {

  private static final double NS_PER_S = 1e9;
  private static final double MS_PER_S = 1e3;

  /** Time over which demand is averaged: eight syncs, and a quarter of the users' window. */
  private static final double DEMAND_WINDOW_S = 2;

  private record Used(long atNs, double amount) {}

  private final long windowNs;
  private final Deque<Used> history = new ArrayDeque<>();
  private double usedHere;
  private double usedElsewhere;
  private double takenEver;
  private double allowedUntil;
  private double limit;
  private double tolerance;
  private double demandPerSecond;
  private long lastNs;
  private boolean begun;

  QuotaWindow(long windowMs) {
    windowNs = windowMs * 1_000_000L;
  }

  /** Sets what may be used within the window at all VMs together, and what may pass it. */
  void configure(double newLimit, double newTolerance) {
    limit = newLimit;
    tolerance = newTolerance;
  }

  /**
   * Takes what the leader tells.
   *
   * @param elsewhere what was used at the other VMs
   * @param allowance what may be taken here after the message that the leader answers
   * @param takenBefore what {@link #takenEver} was when that message was sent
   */
  void told(double elsewhere, double allowance, double takenBefore) {
    usedElsewhere = elsewhere;
    allowedUntil = takenBefore + allowance;
  }

  /** Notes that an amount is asked for, whether it is taken or not. */
  void asked(double amount, long nowNs) {
    pass(nowNs);
    demandPerSecond += amount / DEMAND_WINDOW_S;
  }

  /** Says how an amount stands to the quota. */
  QuotaVerdict verdict(double amount, long nowNs) {
    pass(nowNs);
    if (amount > allowance()) {
      return QuotaVerdict.OVER;
    }
    double usedBefore = usedHere + usedElsewhere;
    double used = usedBefore + amount;
    boolean unused = usedBefore <= 0;
    if (used <= limit || unused) {
      return QuotaVerdict.WITHIN;
    }
    return used <= limit + tolerance ? QuotaVerdict.TOLERATED : QuotaVerdict.OVER;
  }

  /** Counts an amount as used. */
  void take(double amount, long nowNs) {
    pass(nowNs);
    history.addLast(new Used(nowNs, amount));
    usedHere += amount;
    takenEver += amount;
  }

  /** Returns the time until an amount may be within the quota, in milliseconds. */
  long waitMs(double amount) {
    double missing = usedHere + usedElsewhere + amount - limit;
    double waitS = missing * windowNs / NS_PER_S / Math.max(1, limit);
    return Math.max(1, (long) (Math.min(waitS, windowNs / NS_PER_S) * MS_PER_S));
  }

  /** Returns what may still be taken here. */
  double allowance() {
    return Math.max(0, allowedUntil - takenEver);
  }

  /** Returns all that was ever taken here. */
  double takenEver() {
    return takenEver;
  }

  /** Returns what was used here within the window. */
  double usedHere(long nowNs) {
    pass(nowNs);
    return usedHere;
  }

  double demandPerSecond(long nowNs) {
    pass(nowNs);
    return demandPerSecond;
  }

  private void pass(long nowNs) {
    double passedS = begun ? Math.max(0, (nowNs - lastNs) / NS_PER_S) : 0;
    begun = true;
    lastNs = nowNs;
    demandPerSecond *= Math.exp(-passedS / DEMAND_WINDOW_S);
    while (!history.isEmpty() && nowNs - history.peekFirst().atNs() > windowNs) {
      usedHere -= history.removeFirst().amount();
    }
    if (history.isEmpty()) {
      usedHere = 0;
    }
  }
}
