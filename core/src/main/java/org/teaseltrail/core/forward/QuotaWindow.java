package org.teaseltrail.core.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Is a customer's quota as one VM sees it: what was used here within the window, what the leader
 * says was used elsewhere, and the part of the rest that this VM may use.
 *
 * <p>While much is left, a request passes wherever it comes: what the VMs use between two syncs is
 * little against it. When little is left, each VM keeps to its part, so that all of them together
 * can't pass the quota by more than what is under way.
 */
final class QuotaWindow {

  private static final double NS_PER_S = 1e9;
  private static final double MS_PER_S = 1e3;

  /** Time over which demand is averaged: eight syncs, and a quarter of the users' window. */
  private static final double DEMAND_WINDOW_S = 2;

  /** Part of a quota that must be left for requests to pass regardless of the VM's part. */
  private static final double PLENTY = 0.25;

  /**
   * Age up to which what the leader told is relied on: two syncs. Later, as while no member leads,
   * each VM keeps to its part of the whole: all of them together would use what is left of the
   * quota many times over if each went on to believe that it is left.
   */
  private static final long FRESH_NS = 600_000_000L;

  private record Used(long atNs, double amount) {}

  private final long windowNs;
  private final Deque<Used> history = new ArrayDeque<>();
  private double usedHere;
  private double usedElsewhere;
  private double takenSinceTold;
  private double share = 1;
  private double limit;
  private double tolerance;
  private double ratePerSecond;
  private double demandPerSecond;
  private long lastNs;
  private long toldNs;
  private boolean begun;

  QuotaWindow(long windowMs) {
    windowNs = windowMs * 1_000_000L;
  }

  /** Sets what may be used within the window at all VMs together, and what may pass it. */
  void configure(double newRatePerSecond, double burst, double newTolerance) {
    ratePerSecond = newRatePerSecond;
    limit = newRatePerSecond * windowNs / NS_PER_S + burst;
    tolerance = newTolerance;
  }

  /** Takes what the leader tells. */
  void told(double elsewhere, double newShare, long nowNs) {
    toldNs = nowNs;
    usedElsewhere = elsewhere;
    share = newShare;
    takenSinceTold = 0;
  }

  /** Notes that an amount is asked for, whether it is taken or not. */
  void asked(double amount, long nowNs) {
    pass(nowNs);
    demandPerSecond += amount / DEMAND_WINDOW_S;
  }

  /** Says how an amount stands to the quota. */
  QuotaVerdict verdict(double amount, long nowNs) {
    pass(nowNs);
    if (nowNs - toldNs > FRESH_NS) {
      boolean ownPart = usedHere + amount <= share * limit;
      return ownPart ? QuotaVerdict.WITHIN : QuotaVerdict.OVER;
    }
    if (fits(amount, limit)) {
      return QuotaVerdict.WITHIN;
    }
    return fits(amount, limit + tolerance) ? QuotaVerdict.TOLERATED : QuotaVerdict.OVER;
  }

  /** Counts an amount as used. */
  void take(double amount, long nowNs) {
    pass(nowNs);
    history.addLast(new Used(nowNs, amount));
    usedHere += amount;
    takenSinceTold += amount;
  }

  /** Returns the time until an amount may be within the quota, in milliseconds. */
  long waitMs(double amount) {
    double left = limit - usedHere - usedElsewhere;
    double missing = amount - share * Math.max(0, left);
    double waitS = missing / Math.max(1, share * ratePerSecond);
    return Math.max(1, (long) (Math.min(waitS, windowNs / NS_PER_S) * MS_PER_S));
  }

  private boolean fits(double amount, double allowed) {
    double left = allowed - usedHere - usedElsewhere;
    boolean plenty = left - amount >= PLENTY * allowed;
    boolean withinShare = amount + takenSinceTold <= share * (left + takenSinceTold);
    boolean unused = usedHere + usedElsewhere <= 0;
    return plenty || withinShare || unused;
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
