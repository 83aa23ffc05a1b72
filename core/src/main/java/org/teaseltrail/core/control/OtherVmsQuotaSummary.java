package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.List;

/**
 * Is what all entry VMs but one hold of a customer's quota, added up in one pass: with sixty VMs
 * and sixteen customers each sync looks at a thousand lines.
 *
 * @param used what they used within the window
 * @param held what they used and what they may take
 * @param remainingAllowance what they may take
 * @param demandPerSecond what is asked for there in a second
 * @param recentReporters those of them that have told lately
 */
record OtherVmsQuotaSummary(
    double used,
    double held,
    double remainingAllowance,
    double demandPerSecond,
    List<VmQuotaAccount> recentReporters) {

  /**
   * VMs at least whose accounts of the others must hold, all where there are fewer: of eight, one
   * survives but for 1 in 100 losses of half of all VMs together with the leader.
   */
  private static final int MIN_REPORTERS = 8;

  /**
   * One in so many VMs must have an account of the others that holds. With sixty these have told
   * within a quarter of a sync, so that all together may grow four times as fast as if all had to.
   */
  private static final int REPORTERS_DIVISOR = 4;

  /** Silence after which a VM is no witness of what the others hold, nor holds up their growth. */
  private static final long REPORT_FRESH_NS = 500_000_000L;

  /**
   * Returns by how much a VM may come to hold more, so that the accounts of enough others hold.
   *
   * <p>Guards against callers within their quota who are refused where there are many VMs: if every
   * VM's account had to hold, all of them together could grow only as fast as the one that told
   * longest ago allows. Each of sixty VMs sees few of a customer's requests, so nearly every large
   * one needs its VM's allowance to grow. A new leader takes the greatest account that it is told,
   * so it is enough that one of those that hold survives.
   *
   * @param limit what there is, for when there is no witness
   */
  double maxGrowth(double limit) {
    if (recentReporters.isEmpty()) {
      return limit;
    }
    double[] accounts =
        recentReporters.stream().mapToDouble(VmQuotaAccount::othersMaxGrowth).sorted().toArray();
    int needed = Math.max(MIN_REPORTERS, accounts.length / REPORTERS_DIVISOR);
    return accounts[Math.max(0, accounts.length - needed)];
  }

  /** Adds lines up. */
  static final class Builder {

    private final long nowNs;
    private final List<VmQuotaAccount> witnesses = new ArrayList<>();
    private double used;
    private double held;
    private double mayTake;
    private double demandPerSecond;

    Builder(long nowNs) {
      this.nowNs = nowNs;
    }

    void add(VmQuotaAccount line) {
      used += line.used(nowNs);
      held += line.held(nowNs);
      mayTake += line.remainingAllowance();
      demandPerSecond += line.demandPerSecond();
      if (nowNs - line.reportedNs() <= REPORT_FRESH_NS) {
        witnesses.add(line);
      }
    }

    OtherVmsQuotaSummary toSummary() {
      return new OtherVmsQuotaSummary(used, held, mayTake, demandPerSecond, witnesses);
    }
  }
}
