package org.teaseltrail.core.forward;

import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.quota.QuotaGrant;
import org.teaseltrail.core.quota.QuotaPolicy;
import org.teaseltrail.core.quota.QuotaReport;
import org.teaseltrail.core.quota.SlidingWindowSum;

/**
 * A customer's quota as one VM sees it: the use here within the sliding window, the use elsewhere
 * as reported by the leader, and the allowance that the leader granted to this VM in its last
 * answer.
 *
 * <p>The allowance bounds the total use over VMs that can't communicate because they are
 * partitioned or have lost their leader; without it a customer could use its whole quota at each of
 * them. The allowances of all VMs add up to the quota, and that of an unreachable VM stays
 * reserved, so that a VM may use up its allowance at any time but no more.
 */
final class QuotaWindow {

  private static final double NS_PER_S = 1e9;

  /** Time constant of the demand average: eight syncs, and a quarter of the usual quota window. */
  private static final double DEMAND_WINDOW_S = 2;

  private final CustomerId customer;
  private final QuotaPolicy bounds;
  private final SlidingWindowSum usage;
  private QuotaGrant grant;
  private double grantedTotal;
  private double reserved;
  private double takenEver;
  private double wanted;
  private double limit;
  private double tolerance;
  private double demandPerSecond;
  private long lastDecayNs;
  private boolean started;

  QuotaWindow(CustomerId customer, QuotaPolicy bounds) {
    this.customer = customer;
    this.bounds = bounds;
    usage = new SlidingWindowSum(bounds.windowMs());
    grant = new QuotaGrant(customer, 0, 0, 0, 0, 0, 0);
  }

  /** Sets the limit of the use within the window over all VMs, and the tolerance above it. */
  void configure(double newLimit, double newTolerance) {
    limit = newLimit;
    tolerance = newTolerance;
  }

  /**
   * Applies the leader's grant.
   *
   * @param newGrant the grant
   * @param usedBefore the use that was reported in the sync which the grant answers
   */
  void applyGrant(QuotaGrant newGrant, double usedBefore) {
    grant = newGrant;
    grantedTotal = usedBefore + newGrant.allowance();
    wanted = 0;
  }

  /** Records an amount as demand, whether it is consumed or not. */
  void asked(double amount, long nowNs) {
    decayDemand(nowNs);
    demandPerSecond += amount / DEMAND_WINDOW_S;
  }

  /** Checks an amount against the quota. */
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

  /** Records an amount that waits until the leader grants more allowance. */
  void recordShortage(double amount) {
    wanted += amount;
  }

  /** Reserves an amount for a request that has not been sent yet. */
  void reserve(double amount) {
    reserved += amount;
  }

  /** Releases a reserved amount. */
  void release(double amount) {
    reserved = Math.max(0, reserved - amount);
  }

  /** Counts an amount as used. */
  void consume(double amount, long nowNs) {
    usage.add(amount, nowNs);
    takenEver += amount;
  }

  /** Refunds an amount that was counted as used at the given time, as its request did not run. */
  void refund(double amount, long takenNs) {
    usage.remove(amount, takenNs);
  }

  /**
   * Returns the time until there is quota for what waits at all VMs, in milliseconds; 0 if the
   * leader hasn't said that the quota is exhausted.
   */
  long exhaustedForMs() {
    return grant.exhaustedForMs();
  }

  /** Returns the time until an amount may be within the quota, in milliseconds. */
  long retryAfterMs(double amount, long nowNs) {
    double missing = used(nowNs) + grant.usedElsewhere() + amount - limit;
    double waitMs = missing * bounds.windowMs() / Math.max(1, limit);
    return Math.max(1, (long) Math.min(waitMs, bounds.windowMs()));
  }

  /**
   * Returns the amount that may still be consumed here.
   *
   * <p>Use that has left the window may be used again, since the leader counts all that the VM may
   * hold until its next grant. Otherwise callers within their quota would be refused at all VMs
   * from a second after the leader was lost.
   */
  double allowance(long nowNs) {
    return Math.max(0, grantedTotal - used(nowNs));
  }

  /** Returns the use here within the window plus the amounts reserved for queued requests. */
  double used(long nowNs) {
    return usage.total(nowNs) + reserved;
  }

  /**
   * Returns the report for the leader.
   *
   * @param canAdmit whether requests may be admitted; if not, the allowance is returned
   * @param retainsGrant whether the amounts that a leader reserved for other VMs may still matter
   * @param nowNs current time, in nanoseconds
   */
  QuotaReport createReport(boolean canAdmit, boolean retainsGrant, long nowNs) {
    decayDemand(nowNs);
    return new QuotaReport(
        customer,
        used(nowNs),
        takenEver,
        canAdmit ? allowance(nowNs) : 0,
        demandPerSecond,
        wanted,
        retainsGrant ? grant.heldElsewhere() : 0,
        retainsGrant ? grant.heldByEnded() : 0,
        retainsGrant ? grant.endedForMs() : 0);
  }

  private void decayDemand(long nowNs) {
    double elapsedS = started ? Math.max(0, (nowNs - lastDecayNs) / NS_PER_S) : 0;
    started = true;
    lastDecayNs = nowNs;
    demandPerSecond *= StrictMath.exp(-elapsedS / DEMAND_WINDOW_S);
  }
}
