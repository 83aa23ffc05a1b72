package org.teaseltrail.core.control;

import org.teaseltrail.core.quota.QuotaReport;
import org.teaseltrail.core.quota.SlidingWindowSum;

/**
 * Account of what one incarnation of a VM holds of one customer's quota, as the leader counts it.
 */
final class VmQuotaAccount {

  /** Amounts used, at the latest times at which they may have been used. */
  private final SlidingWindowSum latestTimes;

  /**
   * Amounts used, at the earliest such times. It lacks the amounts whose earliest time is unknown.
   */
  private final SlidingWindowSum earliestTimes;

  private double used;
  private double takenEver;
  private double remainingAllowance;
  private double demandPerSecond;
  private double wanted;
  private double othersMaxGrowth;
  private long reportedNs;
  private boolean ended;

  /** Creates the account of a VM that reports for the first time. */
  VmQuotaAccount(long windowMs, QuotaReport firstReport, long nowNs) {
    latestTimes = new SlidingWindowSum(windowMs);
    earliestTimes = new SlidingWindowSum(windowMs);
    latestTimes.add(firstReport.used(), nowNs);
    takenEver = firstReport.takenEver();
    recordReport(firstReport, nowNs);
  }

  /**
   * Records a report of the VM. What it has used since its previous report counts from now.
   *
   * @return the amount used since the previous report
   */
  double recordReport(QuotaReport report, long nowNs) {
    double taken = Math.max(0, report.takenEver() - takenEver);
    latestTimes.add(taken, nowNs);
    earliestTimes.add(taken, reportedNs);
    removeOutOfWindow(nowNs);
    used = report.used();
    takenEver = Math.max(takenEver, report.takenEver());
    reportedNs = nowNs;
    remainingAllowance = report.allowance();
    demandPerSecond = report.demandPerSecond();
    wanted = report.wanted();
    return taken;
  }

  /** Without it, the account of a VM that runs for days would grow with each of its reports. */
  private void removeOutOfWindow(long nowNs) {
    latestTimes.total(nowNs);
    earliestTimes.total(nowNs);
  }

  /** Returns the number of amounts that the account keeps. */
  int size() {
    return latestTimes.size() + earliestTimes.size();
  }

  /**
   * Grants an allowance. Until its next report the VM may still use the previous one, so the
   * greater of both counts.
   */
  void raiseAllowance(double allowance) {
    remainingAllowance = Math.max(remainingAllowance, allowance);
  }

  /** Records the bound sent to the VM: by how much the others may increase what they hold. */
  void setOthersMaxGrowth(double amount) {
    othersMaxGrowth = amount;
  }

  /** Records that another VM has increased what it holds. */
  void consumeOthersGrowth(double amount) {
    othersMaxGrowth = Math.max(0, othersMaxGrowth - amount);
  }

  /**
   * Returns by how much the others may still increase what they hold within the bound sent to the
   * VM.
   */
  double othersMaxGrowth() {
    return othersMaxGrowth;
  }

  /** Returns the time of the VM's last report. */
  long reportedNs() {
    return reportedNs;
  }

  /**
   * Closes the account when the incarnation has ended: what the VM may have used without reporting
   * it counts from now. Besides its allowance this includes amounts that may have left the window
   * since its last report, since the VM may have used these again.
   */
  void end(long nowNs) {
    double mayHaveLeftWindow = Math.max(0, used - earliestTimes.total(nowNs));
    latestTimes.add(remainingAllowance + mayHaveLeftWindow, nowNs);
    remainingAllowance = 0;
    ended = true;
  }

  /**
   * Returns the amount used within the window: as the VM reported, or for an ended incarnation as
   * recorded here.
   */
  double used(long nowNs) {
    return ended ? latestTimes.total(nowNs) : used;
  }

  double held(long nowNs) {
    return used(nowNs) + remainingAllowance;
  }

  /** Returns the amount that the VM may still use. */
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
    return latestTimes.timeUntilEmptyNs(nowNs);
  }
}
