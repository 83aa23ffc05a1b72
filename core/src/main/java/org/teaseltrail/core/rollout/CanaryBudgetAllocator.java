package org.teaseltrail.core.rollout;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;

/**
 * Allocates, on the leader, the requests that entry VMs may send to the target version of a rollout
 * from one budget for all VMs.
 *
 * <p>A limit that each VM enforced alone would not hold for all VMs together, and one that is only
 * in the leader's memory would start again with every leader. Therefore, a new leader treats
 * everything that the log permitted as sent, and allocates only what the log permits in addition.
 * Requests that are allocated to a VM count as sent until the VM reports otherwise.
 */
public final class CanaryBudgetAllocator {

  /** Requests that are committed to the log in advance, which avoids a log entry per request. */
  private static final long COMMIT_AHEAD = 16;

  private static final class Vm {
    private Incarnation incarnation;
    private long firstReached;
    private long firstAllocated;
    private long reached;
    private long allocated;
    private long exposed;
    private long arrivals;
  }

  private final CanaryLimit limit;
  private final ExposureCounters base;
  private final Map<VmId, Vm> vms = new HashMap<>();
  private ExposureCounters committed;
  private long spentByRemoved;
  private long reachedByRemoved;

  /**
   * Creates an allocator that starts from the counters in the log.
   *
   * @param limit the limit of the rollout
   * @param committed the counters of the rollout in the log
   */
  public CanaryBudgetAllocator(CanaryLimit limit, ExposureCounters committed) {
    this.limit = limit;
    this.base = committed;
    this.committed = committed;
  }

  /**
   * Records the report of a VM.
   *
   * @param id the VM
   * @param incarnation the incarnation of its process
   * @param report its report
   */
  public void recordReport(VmId id, Incarnation incarnation, RolloutReport report) {
    Vm vm = vms.get(id);
    boolean sameIncarnation = vm != null && vm.incarnation.equals(incarnation);
    long allocated = Math.max(report.exposed(), report.ceiling());
    if (!sameIncarnation) {
      removeVm(id);
      vm = new Vm();
      vm.incarnation = incarnation;
      vm.firstReached = report.reached();
      vm.firstAllocated = allocated;
      vms.put(id, vm);
    }
    vm.arrivals = report.reached() - (sameIncarnation ? vm.reached : 0);
    vm.reached = report.reached();
    vm.allocated = allocated;
    vm.exposed = report.exposed();
  }

  /**
   * Removes a VM that no longer reports; everything allocated to it counts as sent.
   *
   * @param id the VM
   */
  public void removeVm(VmId id) {
    Vm removed = vms.remove(id);
    if (removed != null) {
      spentByRemoved += removed.allocated - removed.firstAllocated;
      reachedByRemoved += removed.reached - removed.firstReached;
    }
  }

  /**
   * Allocates requests to a VM that has just reported, in proportion to the arrivals at the VMs.
   *
   * @param id the VM
   * @param places free slots at the upstreams of the target version; requests that are allocated
   *     and not yet sent occupy some of them
   * @return total number of requests that the VM may send, including those already sent
   */
  public long allocate(VmId id, long places) {
    Vm vm = vms.get(id);
    long unsent = vms.values().stream().mapToLong(each -> each.allocated - each.exposed).sum();
    long allowed = Math.min(limit.allowedRequests(reached()), committed.lent()) - spent();
    long free = Math.min(allowed, places - unsent);
    if (vm.arrivals <= 0 || free <= 0) {
      return vm.allocated;
    }
    long allArrivals = vms.values().stream().mapToLong(each -> each.arrivals).sum();
    long portion = Math.max(1, free * vm.arrivals / allArrivals);
    vm.allocated += Math.min(free, portion);
    return vm.allocated;
  }

  /**
   * Updates the counters that are committed to the log.
   *
   * @param account the counters of the rollout
   */
  public void updateCommitted(ExposureCounters account) {
    committed = account;
  }

  /**
   * Returns the counters that must be committed to the log to allow further allocations.
   *
   * @return the counters; the committed ones if they are sufficient
   */
  public ExposureCounters wanted() {
    long allowed = limit.allowedRequests(reached());
    boolean sufficient =
        committed.lent() - spent() >= COMMIT_AHEAD / 2 || allowed <= committed.lent();
    if (sufficient) {
      return committed;
    }
    long lent = Math.min(allowed, spent() + COMMIT_AHEAD);
    return committed.max(new ExposureCounters(lent, reached()));
  }

  /**
   * Returns the maximum number of requests that the target version may have received so far.
   *
   * @return the upper bound
   */
  public long spent() {
    return base.lent()
        + spentByRemoved
        + vms.values().stream().mapToLong(vm -> vm.allocated - vm.firstAllocated).sum();
  }

  /**
   * Returns the number of requests that are known to have reached the service.
   *
   * @return the lower bound
   */
  public long reached() {
    return base.reached()
        + reachedByRemoved
        + vms.values().stream().mapToLong(vm -> vm.reached - vm.firstReached).sum();
  }
}
