package org.teaseltrail.core.backpressure;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.registry.UpstreamIncarnation;

class RateLimitRegistryTest {

  private static final long NS_PER_MS = 1_000_000L;
  private static final UpstreamIncarnation UPSTREAM =
      new UpstreamIncarnation(new UpstreamId("u"), 1);
  private static final RateLimit LIMIT = new RateLimit(1.6);

  private final RateLimitRegistry registry = new RateLimitRegistry();

  /**
   * Guards against an outdated limit: another VM's observation of the limit arrives after this VM
   * has observed that the limit was lifted.
   */
  @Test
  void olderSightingSetsNothingAgain() {
    assertThat(registry.recordObservation(UPSTREAM, LIMIT, 100)).isTrue();
    assertThat(registry.recordObservation(UPSTREAM, RateLimit.UNLIMITED, 300)).isTrue();
    assertThat(registry.recordObservation(UPSTREAM, LIMIT, 200)).isFalse();
    assertThat(registry.limit(UPSTREAM)).isEqualTo(RateLimit.UNLIMITED);
  }

  @Test
  void newestSightingCounts() {
    registry.recordObservation(UPSTREAM, LIMIT, 100);
    assertThat(registry.recordObservation(UPSTREAM, new RateLimit(0.5), 200)).isTrue();
    assertThat(registry.recordObservation(UPSTREAM, new RateLimit(0.5), 300)).isFalse();
    assertThat(registry.limit(UPSTREAM)).isEqualTo(new RateLimit(0.5));
  }

  /**
   * Guards against unbounded memory: without removal, the registry would keep every upstream that
   * has ever had a limit.
   */
  @Test
  void forgetsWhatIsGoneOrLiftedLongAgo() {
    registry.recordObservation(UPSTREAM, LIMIT, 0);
    assertThat(registry.removeStale(Set.of(), 9_000 * NS_PER_MS)).isEmpty();
    assertThat(registry.removeStale(Set.of(UPSTREAM), 11_000 * NS_PER_MS)).isEmpty();
    assertThat(registry.removeStale(Set.of(), 11_000 * NS_PER_MS)).containsExactly(UPSTREAM);
    assertThat(registry.isEmpty()).isTrue();
  }

  @Test
  void upstreamWithoutLimitIsNotRemembered() {
    assertThat(registry.recordObservation(UPSTREAM, RateLimit.UNLIMITED, 100)).isFalse();
    assertThat(registry.isEmpty()).isTrue();
  }
}
