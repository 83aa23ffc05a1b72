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

  private final RateLimitRegistry book = new RateLimitRegistry();

  /** Another VM's sighting of the need comes after this one's of its end. */
  @Test
  void olderSightingSetsNothingAgain() {
    assertThat(book.recordObservation(UPSTREAM, LIMIT, 100)).isTrue();
    assertThat(book.recordObservation(UPSTREAM, RateLimit.UNLIMITED, 300)).isTrue();
    assertThat(book.recordObservation(UPSTREAM, LIMIT, 200)).isFalse();
    assertThat(book.limit(UPSTREAM)).isEqualTo(RateLimit.UNLIMITED);
  }

  @Test
  void newestSightingCounts() {
    book.recordObservation(UPSTREAM, LIMIT, 100);
    assertThat(book.recordObservation(UPSTREAM, new RateLimit(0.5), 200)).isTrue();
    assertThat(book.recordObservation(UPSTREAM, new RateLimit(0.5), 300)).isFalse();
    assertThat(book.limit(UPSTREAM)).isEqualTo(new RateLimit(0.5));
  }

  /** The book holds every upstream that was ever in need. */
  @Test
  void forgetsWhatIsGoneOrLiftedLongAgo() {
    book.recordObservation(UPSTREAM, LIMIT, 0);
    assertThat(book.removeStale(Set.of(), 9_000 * NS_PER_MS)).isEmpty();
    assertThat(book.removeStale(Set.of(UPSTREAM), 11_000 * NS_PER_MS)).isEmpty();
    assertThat(book.removeStale(Set.of(), 11_000 * NS_PER_MS)).containsExactly(UPSTREAM);
    assertThat(book.isEmpty()).isTrue();
  }

  @Test
  void upstreamWithoutLimitIsNotRemembered() {
    assertThat(book.recordObservation(UPSTREAM, RateLimit.UNLIMITED, 100)).isFalse();
    assertThat(book.isEmpty()).isTrue();
  }
}
