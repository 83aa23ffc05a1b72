package org.teaseltrail.core.rollout;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;

/**
 * Lends, on the leader, requests to an ordered version out of one account for all entry VMs.
 *
 * <p>Guards against a bound that holds at each VM and not over all, and against one that begins
 * anew with each leader: a leader takes all that the log allowed as sent, and lends only what the
 * log allows on top. What a VM has in hand counts as sent until the VM says otherwise.
 */
public final class CanaryBudgetAllocator {

  /** Requests by which the log's bound grows at a time, so that each needn't be written for. */
  private static final long LOGGED_AHEAD = 16;

  private static final class Vm {
    private Incarnation incarnation;
    private long firstReached;
    private long firstExposed;
    private long reached;
    private long upper;
    private long exposed;
    private long arrivals;
  }

  private final CanaryLimit limit;
  private final ExposureCounters base;
  private final Map<VmId, Vm> vms = new HashMap<>();
  private ExposureCounters updateCommitted;
  private long spentByGone;
  private long reachedByGone;

  /**
   * Begins with what the log knows.
   *
   * @param limit the bound
   * @param logged the rollout's account
   */
  public CanaryBudgetAllocator(CanaryLimit limit, ExposureCounters logged) {
    this.limit = limit;
    this.base = logged;
    this.updateCommitted = logged;
  }

  /**
   * Takes what a VM has done.
   *
   * @param id the VM
   * @param incarnation which life of its process
   * @param report what it has done
   */
  public void recordReport(VmId id, Incarnation incarnation, RolloutReport report) {
    Vm vm = vms.get(id);
    boolean sameLife = vm != null && vm.incarnation.equals(incarnation);
    long upper = Math.max(report.exposed(), report.ceiling());
    if (!sameLife) {
      removeVm(id);
      vm = new Vm();
      vm.incarnation = incarnation;
      vm.firstReached = report.reached();
      vm.firstExposed = upper;
      vms.put(id, vm);
    }
    vm.arrivals = report.reached() - (sameLife ? vm.reached : 0);
    vm.reached = report.reached();
    vm.upper = upper;
    vm.exposed = report.exposed();
  }

  /**
   * Takes a VM out that has fallen silent; what it had in hand counts as sent.
   *
   * @param id the VM
   */
  public void removeVm(VmId id) {
    Vm gone = vms.remove(id);
    if (gone != null) {
      spentByGone += gone.upper - gone.firstExposed;
      reachedByGone += gone.reached - gone.firstReached;
    }
  }

  /**
   * Lends to a VM that has just told what it did.
   *
   * @param id the VM
   * @param places free places at the upstreams that it may send to; what was lent and not yet sent
   *     takes some of them
   * @return requests that it may have sent in all
   */
  public long allocate(VmId id, long places) {
    Vm vm = vms.get(id);
    long unsent = vms.values().stream().mapToLong(one -> one.upper - one.exposed).sum();
    long allowed = Math.min(limit.allowedRequests(reached()), updateCommitted.lent()) - spent();
    long free = Math.min(allowed, places - unsent);
    if (vm.arrivals <= 0 || free <= 0) {
      return vm.upper;
    }
    long allArrivals = vms.values().stream().mapToLong(one -> one.arrivals).sum();
    long part = Math.max(1, free * vm.arrivals / allArrivals);
    vm.upper += Math.min(free, part);
    return vm.upper;
  }

  /**
   * Takes over what is in the log by now.
   *
   * @param account the rollout's account
   */
  public void updateCommitted(ExposureCounters account) {
    updateCommitted = account;
  }

  /**
   * Returns what should be in the log so that there is something to lend.
   *
   * @return the account, the log's own if that is enough
   */
  public ExposureCounters wanted() {
    long allowed = limit.allowedRequests(reached());
    boolean enough =
        updateCommitted.lent() - spent() >= LOGGED_AHEAD / 2 || allowed <= updateCommitted.lent();
    if (enough) {
      return updateCommitted;
    }
    long lent = Math.min(allowed, spent() + LOGGED_AHEAD);
    return updateCommitted.max(new ExposureCounters(lent, reached()));
  }

  /**
   * Returns how many requests the ordered version may have got.
   *
   * @return the upper bound
   */
  public long spent() {
    return base.lent()
        + spentByGone
        + vms.values().stream().mapToLong(vm -> vm.upper - vm.firstExposed).sum();
  }

  /**
   * Returns how many requests are known to have reached the service.
   *
   * @return the lower bound
   */
  public long reached() {
    return base.reached()
        + reachedByGone
        + vms.values().stream().mapToLong(vm -> vm.reached - vm.firstReached).sum();
  }
}
