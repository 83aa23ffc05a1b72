package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Plays a customer that sends many times its usual. The pattern: half of its quota for ten seconds,
 * then three times its quota for nine, at all VMs alike. Figures: six VMs, and the load of a
 * customer at six times its usual whose quota is 1.8 times that.
 */
class QuotaPaceTest extends QuotaCase {

  private static final int USUAL_EVERY = 26;
  private static final int RUSH_EVERY = 4;

  private double ranInSecond(long second, int every) {
    double ran = 0;
    for (long ms = second * 1_000; ms < second * 1_000 + 1_000; ms += 10) {
      for (int i = 0; i < VMS; i++) {
        ran += sync(nodes.get(i), ms * MS);
        boolean asks = (ms / 10 + i) % every == 0;
        ran += asks ? ask(nodes.get(i), ms * MS) : 0;
      }
    }
    return ran;
  }

  /**
   * A customer asks for three times its quota. It got all that was left of the window in a second
   * and a half, and then next to nothing for six: callers within the quota's rate were refused.
   */
  @Test
  void rushGetsTheQuotasRateInEachSecond() {
    atOnce = RATE;
    for (int i = 0; i < VMS; i++) {
      nodes.add(node(i));
    }
    for (long second = 0; second < 10; second++) {
      ranInSecond(second, USUAL_EVERY);
    }
    double all = 0;
    for (long second = 10; second < 19; second++) {
      double ran = ranInSecond(second, RUSH_EVERY);
      all += ran;
      assertThat(ran).as("second %d", second).isBetween(0.8 * RATE, 2.1 * RATE);
    }
    assertThat(all).isLessThanOrEqualTo(10 * RATE);
  }
}
