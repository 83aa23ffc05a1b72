package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Sum of what all entry VMs but one hold of a customer's quota. It is built in one pass, since with
 * sixty VMs and sixteen customers each sync covers about a thousand accounts.
 *
 * @param used the amount that they used within the window
 * @param held the amount that they used plus their remaining allowances
 * @param remainingAllowance the sum of their remaining allowances
 * @param demandPerSecond the demand there per second
 * @param wanted the amount that waits there for allowance
 * @param recentReporters the accounts of those of them that have reported recently
 */
record OtherVmsQuotaSummary(
    double used,
    double held,
    double remainingAllowance,
    double demandPerSecond,
    double wanted,
    List<VmQuotaAccount> recentReporters) {

  /**
   * Minimum number of VMs whose bound on the others' usage must still hold, or all VMs if there are
   * fewer. With eight, at least one survives in 99 of 100 cases in which half of all VMs are lost
   * together with the leader.
   */
  private static final int MIN_REPORTERS = 8;

  /**
   * One in this many VMs must have a bound on the others' usage that still holds. With sixty VMs
   * these have reported within the last quarter of a sync interval, so the total can grow four
   * times as fast as if the bounds of all VMs had to hold.
   */
  private static final int REPORTERS_DIVISOR = 4;

  /**
   * Age of a VM's last report after which its bound no longer counts and no longer limits the
   * growth of the others.
   */
  private static final long REPORT_FRESH_NS = 500_000_000L;

  /**
   * Returns by how much a VM may increase what it holds while the bounds of enough other VMs still
   * hold.
   *
   * <p>If the bound of every VM had to hold, all VMs together could grow only as fast as the VM
   * with the oldest report allows. With many VMs, callers within their quota would then be refused:
   * each of sixty VMs receives few of a customer's requests, so almost every large request needs a
   * greater allowance for its VM. A new leader takes the greatest bound that is reported to it, so
   * it is enough that one VM whose bound holds survives.
   *
   * @param limit the amount to return if no VM has reported recently
   */
  double maxGrowth(double limit) {
    if (recentReporters.isEmpty()) {
      return limit;
    }
    double[] bounds = new double[recentReporters.size()];
    for (int i = 0; i < bounds.length; i++) {
      bounds[i] = recentReporters.get(i).othersMaxGrowth();
    }
    Arrays.sort(bounds);
    int needed = Math.max(MIN_REPORTERS, bounds.length / REPORTERS_DIVISOR);
    return bounds[Math.max(0, bounds.length - needed)];
  }

  /** Sums up accounts. */
  static final class Builder {

    private final long nowNs;
    private final List<VmQuotaAccount> recentReporters = new ArrayList<>();
    private double used;
    private double held;
    private double remainingAllowance;
    private double demandPerSecond;
    private double wanted;

    Builder(long nowNs) {
      this.nowNs = nowNs;
    }

    void add(VmQuotaAccount account) {
      used += account.used(nowNs);
      held += account.held(nowNs);
      remainingAllowance += account.remainingAllowance();
      demandPerSecond += account.demandPerSecond();
      wanted += account.wanted();
      if (nowNs - account.reportedNs() <= REPORT_FRESH_NS) {
        recentReporters.add(account);
      }
    }

    OtherVmsQuotaSummary toSummary() {
      return new OtherVmsQuotaSummary(
          used, held, remainingAllowance, demandPerSecond, wanted, recentReporters);
    }
  }
}
