package org.teaseltrail.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.registry.UpstreamIncarnation;

class LossTrackerTest {

  private static final long S = 1_000_000_000L;
  private static final Fingerprint REQUEST = new Fingerprint(7, 7);
  private static final Optional<CustomerId> OWNER = Optional.of(new CustomerId("owner"));
  private static final Optional<CustomerId> OTHER = Optional.of(new CustomerId("other"));

  private final LossTracker tracker = new LossTracker(600_000);

  private static UpstreamIncarnation incarnation(int number) {
    return new UpstreamIncarnation(new UpstreamId("e" + number), 0);
  }

  @Test
  void completeAnswerExcusesEarlierLosses() {
    tracker.recordLoss(REQUEST, OWNER, incarnation(1), S);
    tracker.recordLoss(REQUEST, OWNER, incarnation(2), 2 * S);
    tracker.recordSuccess(REQUEST);
    assertThat(tracker.isCleared(REQUEST)).isTrue();
    tracker.recordLoss(REQUEST, OWNER, incarnation(3), 3 * S);
    assertThat(tracker.losses(REQUEST)).isEqualTo(1);
  }

  /** Hundreds of suspect requests of one customer must not evict the suspect of another. */
  @Test
  void customerDoesNotEvictRequestsOfOthers() {
    tracker.recordLoss(REQUEST, OWNER, incarnation(1), S);
    for (int i = 0; i < 1_000; i++) {
      tracker.recordLoss(new Fingerprint(100 + i, i), OTHER, incarnation(2), 2 * S);
    }
    assertThat(tracker.losses(REQUEST)).isEqualTo(1);
    assertThat(tracker.findLostAfter(0)).hasSize(65);
  }

  @Test
  void suspectsAreRemovedAfterRetention() {
    tracker.recordLoss(REQUEST, OWNER, incarnation(1), S);
    tracker.removeExpired(600 * S);
    assertThat(tracker.hasScope(7)).isTrue();
    tracker.removeExpired(602 * S);
    assertThat(tracker.hasScope(7)).isFalse();
    assertThat(tracker.isEmpty()).isTrue();
    assertThat(tracker.alive(incarnation(1), 700 * S)).isFalse();
  }
}
