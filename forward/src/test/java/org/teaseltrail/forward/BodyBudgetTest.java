package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Many bodies that wait for a share of the budget. */
class BodyBudgetTest {

  private static final int WAITING = 20_000;

  private final BodyBudget budget = new BodyBudget(1);
  private int ended;

  /** Guards against a stack that overflows while requests that got room are refused at once. */
  @Test
  void requestsThatEndAtOnceWhenTheyGetRoomFollowEachOther() {
    budget.tryReserve(1);
    for (int i = 0; i < WAITING; i++) {
      budget.await(new EndingWaiter());
    }
    budget.release(1);
    assertThat(ended).isEqualTo(WAITING);
    assertThat(budget.usedBytes()).isZero();
  }

  /** Gives its share back as soon as it has it. */
  private final class EndingWaiter implements BodyBudget.Waiter {

    @Override
    public long neededBytes() {
      return 1;
    }

    @Override
    public void onReserved() {
      ended++;
      budget.release(1);
    }
  }
}
