package org.teaseltrail.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;

class CanaryBudgetAllocatorTest {

  private static final CanaryLimit LIMIT = new CanaryLimit(0.1, 0);
  private static final Incarnation LIFE = new Incarnation(1);
  private static final Incarnation NEXT_LIFE = new Incarnation(2);
  private static final VmId ONE = new VmId("one");
  private static final VmId OTHER = new VmId("other");
  private static final long PLENTY = 1_000;

  private final CanaryBudgetAllocator ledger =
      new CanaryBudgetAllocator(LIMIT, ExposureCounters.NONE);

  private static RolloutReport use(long reached, long exposed, long ceiling) {
    return new RolloutReport(new ServiceId("s"), 1, reached, exposed, ceiling, 0, List.of());
  }

  /** Lends as the leader does, with a log that writes at once. */
  private long lend(CanaryBudgetAllocator from, VmId vm, Incarnation life, RolloutReport use) {
    from.recordReport(vm, life, use);
    from.updateCommitted(from.wanted());
    return from.allocate(vm, PLENTY);
  }

  @Test
  void lendsNoMoreThanTheShareOfWhatReachedTheService() {
    lend(ledger, ONE, LIFE, use(0, 0, 0));
    assertThat(lend(ledger, ONE, LIFE, use(100, 0, 0))).isEqualTo(9);
    assertThat(lend(ledger, ONE, LIFE, use(200, 9, 9))).isEqualTo(18);
  }

  /** Many VMs that each get their part of the bound would pass it by rounding up. */
  @Test
  void lendsOutOfOneAccountForAllVms() {
    long lent = 0;
    for (int vm = 0; vm < 64; vm++) {
      VmId id = new VmId("vm-" + vm);
      lend(ledger, id, LIFE, use(0, 0, 0));
    }
    for (int vm = 0; vm < 64; vm++) {
      lent += lend(ledger, new VmId("vm-" + vm), LIFE, use(1, 0, 0));
    }
    assertThat(lent).isLessThanOrEqualTo(LIMIT.allowedRequests(64));
  }

  /** A VM is lent requests and falls silent; another one would get the same ones again. */
  @Test
  void whatSilentVmHadInHandStaysSpent() {
    lend(ledger, ONE, LIFE, use(0, 0, 0));
    lend(ledger, ONE, LIFE, use(100, 0, 0));
    ledger.removeVm(ONE);
    lend(ledger, OTHER, LIFE, use(0, 0, 0));
    assertThat(lend(ledger, OTHER, LIFE, use(1, 0, 0))).isZero();
  }

  /** A VM's process starts anew and counts from nothing. */
  @Test
  void nextLifeOfVmGivesNothingBack() {
    lend(ledger, ONE, LIFE, use(0, 0, 0));
    lend(ledger, ONE, LIFE, use(100, 0, 0));
    lend(ledger, ONE, NEXT_LIFE, use(0, 0, 0));
    assertThat(ledger.spent()).isEqualTo(9);
    assertThat(lend(ledger, ONE, NEXT_LIFE, use(1, 0, 0))).isZero();
  }

  @Test
  void whatVmDidNotUseInTimeIsLentAgain() {
    lend(ledger, ONE, LIFE, use(0, 0, 0));
    lend(ledger, ONE, LIFE, use(100, 0, 0));
    ledger.recordReport(ONE, LIFE, use(100, 2, 2));
    assertThat(ledger.spent()).isEqualTo(2);
  }

  /** A leader is lost with what it knew; the next one would lend the whole share again. */
  @Test
  void nextLeaderTakesAllThatTheLogAllowedAsSpent() {
    lend(ledger, ONE, LIFE, use(0, 0, 0));
    lend(ledger, ONE, LIFE, use(100, 0, 0));
    CanaryBudgetAllocator next = new CanaryBudgetAllocator(LIMIT, ledger.wanted());
    assertThat(lend(next, ONE, LIFE, use(110, 3, 9))).isEqualTo(9);
    assertThat(next.spent()).isGreaterThanOrEqualTo(9);
  }

  /** A canary's few upstreams are filled far beyond their places and look slow. */
  @Test
  void lendsNoMoreThanThereArePlaces() {
    lend(ledger, ONE, LIFE, use(0, 0, 0));
    ledger.recordReport(ONE, LIFE, use(1_000, 0, 0));
    ledger.updateCommitted(ledger.wanted());
    assertThat(ledger.allocate(ONE, 4)).isEqualTo(4);
    assertThat(ledger.allocate(ONE, 4)).isEqualTo(4);
  }
}
