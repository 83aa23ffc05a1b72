package org.teaseltrail.core.control;

import org.teaseltrail.core.quota.QuotaReport;
import org.teaseltrail.core.quota.SlidingWindowSum;

/** Is what one life of a VM holds of one customer's quota, as the leader counts it. */
final class VmQuotaAccount {

  /** What was taken, at the latest times at which it may have been. */
  private final SlidingWindowSum history;

  /** What was taken, at the earliest such times; of what is not in it these aren't known. */
  private final SlidingWindowSum earliest;

  private double used;
  private double takenEver;
  private double remainingAllowance;
  private double demandPerSecond;
  private double wanted;
  private double othersMaxGrowth;
  private long reportedNs;
  private boolean ended;

  /** Creates the line of a VM that comes forward with what it has used. */
  VmQuotaAccount(long windowMs, QuotaReport first, long nowNs) {
    history = new SlidingWindowSum(windowMs);
    earliest = new SlidingWindowSum(windowMs);
    history.add(first.used(), nowNs);
    takenEver = first.takenEver();
    recordReport(first, nowNs);
  }

  /**
   * Takes what the VM tells; what it took since it told last counts from now.
   *
   * @return how much that is
   */
  double recordReport(QuotaReport use, long nowNs) {
    double taken = Math.max(0, use.takenEver() - takenEver);
    history.add(taken, nowNs);
    earliest.add(taken, reportedNs);
    used = use.used();
    takenEver = Math.max(takenEver, use.takenEver());
    reportedNs = nowNs;
    remainingAllowance = use.allowance();
    demandPerSecond = use.demandPerSecond();
    wanted = use.wanted();
    return taken;
  }

  /** Allows an amount; until the VM tells again, it may go on with the one before. */
  void raiseAllowance(double allowance) {
    remainingAllowance = Math.max(remainingAllowance, allowance);
  }

  /** Notes that the VM is told that the others may come to hold so much more. */
  void setOthersMaxGrowth(double amount) {
    othersMaxGrowth = amount;
  }

  /** Notes that another VM has come to hold more. */
  void consumeOthersGrowth(double amount) {
    othersMaxGrowth = Math.max(0, othersMaxGrowth - amount);
  }

  /** Returns how much more the others may hold by what the VM was told. */
  double othersMaxGrowth() {
    return othersMaxGrowth;
  }

  /** Returns when the VM told last. */
  long reportedNs() {
    return reportedNs;
  }

  /**
   * Ends the VM's life: what it may have taken unheard counts from now. Beside its allowance, that
   * is as much as may have left the window since it told: the VM may have used that again.
   */
  void end(long nowNs) {
    double leftWindow = Math.max(0, used - earliest.total(nowNs));
    history.add(remainingAllowance + leftWindow, nowNs);
    remainingAllowance = 0;
    ended = true;
  }

  /** Returns what was used within the window: as the VM told, or of an ended life as was noted. */
  double used(long nowNs) {
    return ended ? history.total(nowNs) : used;
  }

  double held(long nowNs) {
    return used(nowNs) + remainingAllowance;
  }

  /** Returns what the VM may take yet. */
  double remainingAllowance() {
    return remainingAllowance;
  }

  double demandPerSecond() {
    return demandPerSecond;
  }

  double wanted() {
    return wanted;
  }

  long timeUntilEmptyNs(long nowNs) {
    return history.timeUntilEmptyNs(nowNs);
  }
}
