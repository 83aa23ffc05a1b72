package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Simulates a customer that sends many times its usual load: half of its quota for ten seconds,
 * then three times its quota for nine, evenly at all VMs. There are six VMs, and the load is that
 * of a customer at six times its usual load whose quota is 1.8 times that.
 */
class QuotaRateTest extends QuotaTestBase {

  private static final int USUAL_INTERVAL_STEPS = 26;
  private static final int OVERLOAD_INTERVAL_STEPS = 4;

  private double tokensStartedInSecond(long second, int intervalSteps) {
    double ran = 0;
    for (long ms = second * 1_000; ms < second * 1_000 + 1_000; ms += 10) {
      for (int i = 0; i < VMS; i++) {
        ran += sync(nodes.get(i), ms * MS);
        boolean isSending = (ms / 10 + i) % intervalSteps == 0;
        ran += isSending ? sendRequest(nodes.get(i), ms * MS) : 0;
      }
    }
    return ran;
  }

  /**
   * A customer requests three times its quota. If it got the whole rest of the window within a
   * second and a half, it would get almost nothing for six seconds, and callers within the quota's
   * rate would be refused.
   */
  @Test
  void overloadedCustomerGetsItsRateInEachSecond() {
    burstCapacity = RATE;
    for (int i = 0; i < VMS; i++) {
      nodes.add(node(i));
    }
    for (long second = 0; second < 10; second++) {
      tokensStartedInSecond(second, USUAL_INTERVAL_STEPS);
    }
    double total = 0;
    for (long second = 10; second < 19; second++) {
      double ran = tokensStartedInSecond(second, OVERLOAD_INTERVAL_STEPS);
      total += ran;
      assertThat(ran).as("second %d", second).isBetween(0.8 * RATE, 2.1 * RATE);
    }
    assertThat(total).isLessThanOrEqualTo(10 * RATE);
  }
}
