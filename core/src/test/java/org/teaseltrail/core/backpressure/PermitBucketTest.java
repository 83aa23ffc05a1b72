package org.teaseltrail.core.backpressure;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PermitBucketTest {

  private static final long NS_PER_MS = 1_000_000L;

  private final PermitBucket bucket = new PermitBucket(0);

  private int acquired(RateLimit limit, int wanted, int fromMs, int untilMs) {
    int acquired = 0;
    for (int ms = fromMs; ms < untilMs; ms++) {
      acquired += bucket.acquire(limit, wanted, ms * NS_PER_MS);
    }
    return acquired;
  }

  @Test
  void givesAtTheLimitsRate() {
    assertThat(acquired(new RateLimit(1.6), 9, 0, 100_000)).isBetween(159, 160);
  }

  /**
   * A new leader that starts with a full bucket would exceed the limit, since the previous leader
   * has already issued permits.
   */
  @Test
  void beginsEmpty() {
    assertThat(bucket.acquire(new RateLimit(100), 9, 0)).isZero();
  }

  /** Permits that were not used for a minute must not all be issued at once. */
  @Test
  void gathersOnlyFewPermits() {
    bucket.acquire(new RateLimit(1.6), 0, 60_000 * NS_PER_MS);
    assertThat(bucket.acquire(new RateLimit(1.6), 100, 60_001 * NS_PER_MS)).isEqualTo(1);
  }

  /**
   * With a limit of zero, the upstream must still receive an occasional request, since only an
   * answer can show that the limit was lifted.
   */
  @Test
  void givesSeldomWhereNothingIsTaken() {
    assertThat(acquired(new RateLimit(0), 9, 0, 60_000)).isBetween(14, 15);
  }

  /** Guards against an integer overflow when the limit is far higher than the demand. */
  @Test
  void givesWhatIsWantedUnderHugeLimit() {
    assertThat(bucket.acquire(new RateLimit(1e300), 7, NS_PER_MS)).isEqualTo(7);
  }
}
