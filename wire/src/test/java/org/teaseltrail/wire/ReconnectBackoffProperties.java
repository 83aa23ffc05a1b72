package org.teaseltrail.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class ReconnectBackoffProperties {

  @Property(seed = "17", tries = 200)
  void delaysDoubleUpToMaximumUntilReset(@ForAll long seed, @ForAll @IntRange(max = 20) int n) {
    ReconnectBackoff backoff = new ReconnectBackoff(100, 2_000, new Random(seed));
    long boundMs = 100;
    for (int i = 0; i < n; i++) {
      assertThat(backoff.nextDelayMs()).isBetween(boundMs / 2, boundMs);
      boundMs = Math.min(2_000, boundMs * 2);
    }
    backoff.reset();
    assertThat(backoff.nextDelayMs()).isBetween(50L, 100L);
  }
}
