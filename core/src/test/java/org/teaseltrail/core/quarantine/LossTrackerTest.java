package org.teaseltrail.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.registry.UpstreamIncarnation;

class LossTrackerTest {

  private static final long S = 1_000_000_000L;
  private static final Fingerprint PART = new Fingerprint(7, 70);
  private static final Fingerprint SHARED = new Fingerprint(8, 80);
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

  /** Guards against a part that crashes upstreams under requests that are no two alike. */
  @Test
  void partThatWasNeverAnsweredIsHeldAfterThreeLosses() {
    losePart(PART, 1, OptionalLong.empty());
    losePart(PART, 2, OptionalLong.empty());
    assertThat(tracker.findPartsToHold()).isEmpty();
    losePart(PART, 3, OptionalLong.empty());
    assertThat(tracker.findPartsToHold()).containsOnlyKeys(PART);
  }

  /** Guards against a part of many requests that is held for what a rarer one has done. */
  @Test
  void partThatIsAnsweredElsewhereIsExplainedByOneThatNeverWas() {
    for (int upstream = 1; upstream <= 6; upstream++) {
      losePart(PART, upstream, OptionalLong.empty());
      losePart(SHARED, upstream, OptionalLong.of(0));
    }
    assertThat(tracker.findPartsToHold()).containsOnlyKeys(PART);
  }

  /** Guards against a part that turns deadly although it was answered before. */
  @Test
  void partThatWasAnsweredBeforeIsHeldAfterFiveLosses() {
    for (int upstream = 1; upstream <= 4; upstream++) {
      losePart(SHARED, upstream, OptionalLong.of(0));
    }
    assertThat(tracker.findPartsToHold()).isEmpty();
    losePart(SHARED, 5, OptionalLong.of(0));
    assertThat(tracker.findPartsToHold()).containsOnlyKeys(SHARED);
  }

  @Test
  void completeAnswerClearsPart() {
    for (int upstream = 1; upstream <= 3; upstream++) {
      losePart(PART, upstream, OptionalLong.empty());
    }
    tracker.recordSuccess(PART);
    assertThat(tracker.findPartsToHold()).isEmpty();
  }

  /** Guards against parts of a poison request that are held in its place. */
  @Test
  void partIsExplainedByRequestWithTheSameLosses() {
    for (int upstream = 1; upstream <= 3; upstream++) {
      tracker.recordLoss(REQUEST, OWNER, incarnation(upstream), upstream * S);
      losePart(PART, upstream, OptionalLong.empty());
    }
    assertThat(tracker.findPartsToHold()).isEmpty();
    assertThat(tracker.findRequestsToHold()).containsOnlyKeys(REQUEST);
  }

  /** Guards against a flood of parts that evicts the suspect requests of the same customer. */
  @Test
  void partsDontEvictRequests() {
    tracker.recordLoss(REQUEST, OWNER, incarnation(1), S);
    for (int i = 0; i < 1_000; i++) {
      losePart(new Fingerprint(100 + i, i), 2, OptionalLong.empty());
    }
    assertThat(tracker.losses(REQUEST)).isEqualTo(1);
  }

  private void losePart(Fingerprint part, int upstream, OptionalLong servedNs) {
    tracker.recordPartLoss(part, OWNER, incarnation(upstream), upstream * S, servedNs);
  }
}
