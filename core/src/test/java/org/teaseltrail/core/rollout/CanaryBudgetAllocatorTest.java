package org.teaseltrail.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;

class CanaryBudgetAllocatorTest {

  private static final CanaryLimit LIMIT = new CanaryLimit(0.1, 0);
  private static final Incarnation FIRST = new Incarnation(1);
  private static final Incarnation SECOND = new Incarnation(2);
  private static final VmId ONE = new VmId("one");
  private static final VmId OTHER = new VmId("other");
  private static final long MANY_SLOTS = 1_000;

  private final CanaryBudgetAllocator allocator =
      new CanaryBudgetAllocator(LIMIT, ExposureCounters.NONE);

  private static RolloutReport report(long reached, long exposed, long ceiling) {
    return new RolloutReport(new ServiceId("s"), 1, reached, exposed, ceiling, 0, List.of());
  }

  /** Allocates as the leader does, with a log that commits immediately. */
  private long allocate(
      CanaryBudgetAllocator target, VmId vm, Incarnation incarnation, RolloutReport report) {
    target.recordReport(vm, incarnation, report);
    target.updateCommitted(target.wanted());
    return target.allocate(vm, MANY_SLOTS);
  }

  @Test
  void allocatesNoMoreThanTheShareOfWhatReachedTheService() {
    allocate(allocator, ONE, FIRST, report(0, 0, 0));
    assertThat(allocate(allocator, ONE, FIRST, report(100, 0, 0))).isEqualTo(9);
    assertThat(allocate(allocator, ONE, FIRST, report(200, 9, 9))).isEqualTo(18);
  }

  /** Rounding up the share of each of many VMs must not exceed the limit in total. */
  @Test
  void allocatesFromOneBudgetForAllVms() {
    long lent = 0;
    for (int vm = 0; vm < 64; vm++) {
      VmId id = new VmId("vm-" + vm);
      allocate(allocator, id, FIRST, report(0, 0, 0));
    }
    for (int vm = 0; vm < 64; vm++) {
      lent += allocate(allocator, new VmId("vm-" + vm), FIRST, report(1, 0, 0));
    }
    assertThat(lent).isLessThanOrEqualTo(LIMIT.allowedRequests(64));
  }

  /** Requests allocated to a VM that stops reporting must not be allocated to another VM again. */
  @Test
  void allocationOfSilentVmStaysSpent() {
    allocate(allocator, ONE, FIRST, report(0, 0, 0));
    allocate(allocator, ONE, FIRST, report(100, 0, 0));
    allocator.removeVm(ONE);
    allocate(allocator, OTHER, FIRST, report(0, 0, 0));
    assertThat(allocate(allocator, OTHER, FIRST, report(1, 0, 0))).isZero();
  }

  /** The process of a VM restarts and its counts start at zero; nothing returns to the budget. */
  @Test
  void restartOfVmReturnsNothingToBudget() {
    allocate(allocator, ONE, FIRST, report(0, 0, 0));
    allocate(allocator, ONE, FIRST, report(100, 0, 0));
    allocate(allocator, ONE, SECOND, report(0, 0, 0));
    assertThat(allocator.spent()).isEqualTo(9);
    assertThat(allocate(allocator, ONE, SECOND, report(1, 0, 0))).isZero();
  }

  @Test
  void unusedAllocationIsAllocatedAgain() {
    allocate(allocator, ONE, FIRST, report(0, 0, 0));
    allocate(allocator, ONE, FIRST, report(100, 0, 0));
    allocator.recordReport(ONE, FIRST, report(100, 2, 2));
    assertThat(allocator.spent()).isEqualTo(2);
  }

  /** A new leader without the state of the crashed one must not allocate the whole share again. */
  @Test
  void nextLeaderCountsAllThatTheLogAllowedAsSpent() {
    allocate(allocator, ONE, FIRST, report(0, 0, 0));
    allocate(allocator, ONE, FIRST, report(100, 0, 0));
    CanaryBudgetAllocator next = new CanaryBudgetAllocator(LIMIT, allocator.wanted());
    assertThat(allocate(next, ONE, FIRST, report(110, 3, 9))).isEqualTo(9);
    assertThat(next.spent()).isGreaterThanOrEqualTo(9);
  }

  /** The few canary upstreams must not be loaded beyond their slots, or they would appear slow. */
  @Test
  void allocatesNoMoreThanFreeSlots() {
    allocate(allocator, ONE, FIRST, report(0, 0, 0));
    allocator.recordReport(ONE, FIRST, report(1_000, 0, 0));
    allocator.updateCommitted(allocator.wanted());
    assertThat(allocator.allocate(ONE, 4)).isEqualTo(4);
    assertThat(allocator.allocate(ONE, 4)).isEqualTo(4);
  }
}
