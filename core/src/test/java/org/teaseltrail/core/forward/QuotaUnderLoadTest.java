package org.teaseltrail.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quota.QuotaGrant;

/**
 * Holds a customer's quota while there are more requests than places. The pattern: engines are full
 * for longer than requests wait, callers come back once. Figures: a request of 1,100 tokens, and a
 * quota that has room for four of them besides the one at the engine: as many as may wait anyway.
 */
class QuotaUnderLoadTest extends ForwardNodeTestBase {

  private static final int TOKENS = 1_000;
  private static final int TOKENS_OF_REQUEST = TOKENS + 100;
  private static final int REQUESTS_IN_QUOTA = 5;
  private static final long LONGEST_WAIT_MS = 2_500;

  @Override
  List<QuotaGrant> grants() {
    double allowance = REQUESTS_IN_QUOTA * TOKENS_OF_REQUEST;
    return List.of(new QuotaGrant(TestPlans.CUSTOMER, allowance, 0, 0, 0, 0));
  }

  private void serveOnePlace() {
    double tokensPerSecond = REQUESTS_IN_QUOTA * TOKENS_OF_REQUEST / 9.0;
    serveWith(
        TestPlans.plan(1, TestPlans.customer(TestPlans.KEY, tokensPerSecond)),
        upstream("e1", TestPlans.ENGINES, 1));
    arriveWithPrompt(TOKENS);
    assertThat(dispatches()).containsExactly("e1");
  }

  /**
   * Four requests wait at a full engine and are refused. They had spent the customer's quota, so
   * that its next requests were refused as over the quota, though one single request of it was
   * served.
   */
  @Test
  void requestsThatNeverRanSpendNoQuota() {
    serveOnePlace();
    for (int i = 1; i < REQUESTS_IN_QUOTA; i++) {
      arriveWithPrompt(TOKENS);
    }
    nowNs += LONGEST_WAIT_MS * MS;
    actions = node.tick(nowNs);
    assertThat(refusals())
        .hasSize(REQUESTS_IN_QUOTA - 1)
        .containsOnly(RefusalReason.WAITED_TOO_LONG);
    for (int i = 1; i < REQUESTS_IN_QUOTA; i++) {
      arriveWithPrompt(TOKENS);
      assertThat(refusals()).isEmpty();
    }
    arriveWithPrompt(TOKENS);
    assertThat(refusals()).containsExactly(RefusalReason.OVER_QUOTA);
  }

  /** What waits is set aside: more than the quota must not get into the line. */
  @Test
  void waitingRequestsHoldTheirPartOfTheQuota() {
    serveOnePlace();
    for (int i = 1; i < REQUESTS_IN_QUOTA; i++) {
      arriveWithPrompt(TOKENS);
      assertThat(refusals()).isEmpty();
    }
    arriveWithPrompt(TOKENS);
    assertThat(refusals()).containsExactly(RefusalReason.OVER_QUOTA);
  }

  /** A caller leaves while its request runs: it has used its part. */
  @Test
  void requestThatMayHaveRunHasUsedItsPart() {
    serveOnePlace();
    node.onCallerDisconnected(lastNumber, nowNs);
    for (int i = 1; i < REQUESTS_IN_QUOTA; i++) {
      arriveWithPrompt(TOKENS);
      node.onCallerDisconnected(lastNumber, nowNs);
    }
    arriveWithPrompt(TOKENS);
    assertThat(refusals()).containsExactly(RefusalReason.OVER_QUOTA);
  }

  /** No connection could be made, so nothing ran, and nobody else takes the request. */
  @Test
  void requestThatReachedNobodyGivesItsPartBack() {
    serveOnePlace();
    for (int i = 0; i < 2 * REQUESTS_IN_QUOTA; i++) {
      end(lastNumber, AttemptOutcome.NOT_CONNECTED);
      assertThat(refusals()).containsExactly(RefusalReason.NOT_RUN);
      arriveWithPrompt(TOKENS);
      assertThat(refusals()).isEmpty();
    }
  }
}
