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
public final class ExposureLedger {

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
  private final ExposureAccount base;
  private final Map<VmId, Vm> vms = new HashMap<>();
  private ExposureAccount logged;
  private long spentByGone;
  private long reachedByGone;

  /**
   * Begins with what the log knows.
   *
   * @param limit the bound
   * @param logged the rollout's account
   */
  public ExposureLedger(CanaryLimit limit, ExposureAccount logged) {
    this.limit = limit;
    this.base = logged;
    this.logged = logged;
  }

  /**
   * Takes what a VM has done.
   *
   * @param id the VM
   * @param incarnation which life of its process
   * @param use what it has done
   */
  public void told(VmId id, Incarnation incarnation, RolloutUse use) {
    Vm vm = vms.get(id);
    boolean sameLife = vm != null && vm.incarnation.equals(incarnation);
    long upper = Math.max(use.exposed(), use.ceiling());
    if (!sameLife) {
      forget(id);
      vm = new Vm();
      vm.incarnation = incarnation;
      vm.firstReached = use.reached();
      vm.firstExposed = upper;
      vms.put(id, vm);
    }
    vm.arrivals = use.reached() - (sameLife ? vm.reached : 0);
    vm.reached = use.reached();
    vm.upper = upper;
    vm.exposed = use.exposed();
  }

  /**
   * Takes a VM out that has fallen silent; what it had in hand counts as sent.
   *
   * @param id the VM
   */
  public void forget(VmId id) {
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
  public long lend(VmId id, long places) {
    Vm vm = vms.get(id);
    long unsent = vms.values().stream().mapToLong(one -> one.upper - one.exposed).sum();
    long allowed = Math.min(limit.allowed(reached()), logged.lent()) - spent();
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
  public void logged(ExposureAccount account) {
    logged = account;
  }

  /**
   * Returns what should be in the log so that there is something to lend.
   *
   * @return the account, the log's own if that is enough
   */
  public ExposureAccount wanted() {
    long allowed = limit.allowed(reached());
    boolean enough = logged.lent() - spent() >= LOGGED_AHEAD / 2 || allowed <= logged.lent();
    if (enough) {
      return logged;
    }
    long lent = Math.min(allowed, spent() + LOGGED_AHEAD);
    return logged.max(new ExposureAccount(lent, reached()));
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
