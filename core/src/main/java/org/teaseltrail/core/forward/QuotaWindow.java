package org.teaseltrail.core.forward;

import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.quota.QuotaGrant;
import org.teaseltrail.core.quota.QuotaPolicy;
import org.teaseltrail.core.quota.QuotaReport;
import org.teaseltrail.core.quota.SlidingWindowSum;

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

  /** Time over which demand is averaged: eight syncs, and a quarter of the users' window. */
  private static final double DEMAND_WINDOW_S = 2;

  private final CustomerId customer;
  private final QuotaPolicy bounds;
  private final SlidingWindowSum history;
  private QuotaGrant grant;
  private double holdable;
  private double reserved;
  private double takenEver;
  private double wanted;
  private double limit;
  private double tolerance;
  private double demandPerSecond;
  private long lastNs;
  private boolean begun;

  QuotaWindow(CustomerId customer, QuotaPolicy bounds) {
    this.customer = customer;
    this.bounds = bounds;
    history = new SlidingWindowSum(bounds.windowMs());
    grant = new QuotaGrant(customer, 0, 0, 0, 0, 0);
  }

  /** Sets what may be used within the window at all VMs together, and what may pass it. */
  void configure(double newLimit, double newTolerance) {
    limit = newLimit;
    tolerance = newTolerance;
  }

  /**
   * Takes what the leader tells.
   *
   * @param told the grant
   * @param usedBefore what was told as used in the sync that it answers
   */
  void applyGrant(QuotaGrant told, double usedBefore) {
    grant = told;
    holdable = usedBefore + told.allowance();
    wanted = 0;
  }

  /** Notes that an amount is asked for, whether it is taken or not. */
  void asked(double amount, long nowNs) {
    pass(nowNs);
    demandPerSecond += amount / DEMAND_WINDOW_S;
  }

  /** Says how an amount stands to the quota. */
  QuotaVerdict verdict(double amount, long nowNs) {
    double usedBefore = used(nowNs) + grant.usedElsewhere();
    double used = usedBefore + amount;
    boolean unused = usedBefore <= 0;
    boolean within = used <= limit || unused;
    if (!within && used > limit + tolerance) {
      return QuotaVerdict.OVER;
    }
    if (amount > allowance(nowNs)) {
      return within ? QuotaVerdict.NEEDS_ALLOWANCE : QuotaVerdict.OVER;
    }
    return within ? QuotaVerdict.WITHIN : QuotaVerdict.WITHIN_TOLERANCE;
  }

  /** Notes that a request waits until the leader allows more. */
  void recordShortage(double amount) {
    wanted += amount;
  }

  /** Sets an amount aside for a request that has not been sent yet. */
  void reserve(double amount) {
    reserved += amount;
  }

  /** Gives back what was set aside. */
  void release(double amount) {
    reserved = Math.max(0, reserved - amount);
  }

  /** Counts an amount as used. */
  void consume(double amount, long nowNs) {
    history.add(amount, nowNs);
    takenEver += amount;
  }

  /** Takes back what was counted as used at a time, since the request did not run. */
  void refund(double amount, long takenNs) {
    history.remove(amount, takenNs);
  }

  /** Returns the time until an amount may be within the quota, in milliseconds. */
  long retryAfterMs(double amount, long nowNs) {
    double missing = used(nowNs) + grant.usedElsewhere() + amount - limit;
    double waitMs = missing * bounds.windowMs() / Math.max(1, limit);
    return Math.max(1, (long) Math.min(waitMs, bounds.windowMs()));
  }

  /**
   * Returns what may still be taken here.
   *
   * <p>Guards against callers that are refused though they are within their quota while no member
   * leads: they show as refusals for the quota at all VMs at once, a second after the leader went.
   * The leader counts all that the VM may hold until it tells again, so what was used here and has
   * left the window may be used again.
   */
  double allowance(long nowNs) {
    return Math.max(0, holdable - used(nowNs));
  }

  /** Returns what was used here within the window or is set aside for requests that wait. */
  double used(long nowNs) {
    return history.total(nowNs) + reserved;
  }

  /**
   * Tells what the leader must know.
   *
   * @param mayTake whether requests may be admitted; if not, the allowance is given back
   * @param remembers whether what a leader counted for others may still matter
   * @param nowNs time
   */
  QuotaReport createReport(boolean mayTake, boolean remembers, long nowNs) {
    pass(nowNs);
    return new QuotaReport(
        customer,
        used(nowNs),
        takenEver,
        mayTake ? allowance(nowNs) : 0,
        demandPerSecond,
        wanted,
        remembers ? grant.heldElsewhere() : 0,
        remembers ? grant.heldByEnded() : 0,
        remembers ? grant.endedForMs() : 0);
  }

  private void pass(long nowNs) {
    double passedS = begun ? Math.max(0, (nowNs - lastNs) / NS_PER_S) : 0;
    begun = true;
    lastNs = nowNs;
    demandPerSecond *= Math.exp(-passedS / DEMAND_WINDOW_S);
  }
}
