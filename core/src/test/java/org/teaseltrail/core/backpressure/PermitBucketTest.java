package org.teaseltrail.core.backpressure;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PermitBucketTest {

  private static final long NS_PER_MS = 1_000_000L;

  private final PermitBucket bucket = new PermitBucket(0);

  private int taken(RateLimit limit, int wanted, int fromMs, int untilMs) {
    int taken = 0;
    for (int ms = fromMs; ms < untilMs; ms++) {
      taken += bucket.acquire(limit, wanted, ms * NS_PER_MS);
    }
    return taken;
  }

  @Test
  void givesAtTheLimitsRate() {
    assertThat(taken(new RateLimit(1.6), 9, 0, 100_000)).isBetween(159, 160);
  }

  /** A leader that begins with a full bucket adds to what the one before gave out. */
  @Test
  void beginsEmpty() {
    assertThat(bucket.acquire(new RateLimit(100), 9, 0)).isZero();
  }

  /** Permits that nobody wanted for a minute are all sent at once. */
  @Test
  void gathersOnlyFewPermits() {
    bucket.acquire(new RateLimit(1.6), 0, 60_000 * NS_PER_MS);
    assertThat(bucket.acquire(new RateLimit(1.6), 100, 60_001 * NS_PER_MS)).isEqualTo(1);
  }

  /** An upstream that takes nothing is never asked again whether it still does. */
  @Test
  void givesSeldomWhereNothingIsTaken() {
    assertThat(taken(new RateLimit(0), 9, 0, 60_000)).isBetween(14, 15);
  }

  /** A number of requests that is beyond any wish overflows. */
  @Test
  void givesWhatIsWantedUnderHugeLimit() {
    assertThat(bucket.acquire(new RateLimit(1e300), 7, NS_PER_MS)).isEqualTo(7);
  }
}
