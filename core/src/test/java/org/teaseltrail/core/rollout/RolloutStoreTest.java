package org.teaseltrail.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamVersion;

class RolloutStoreTest {

  private static final ServiceId SERVICE = new ServiceId("engines");
  private static final UpstreamVersion V1 = new UpstreamVersion("v1");
  private static final UpstreamVersion V2 = new UpstreamVersion("v2");
  private static final UpstreamVersion V3 = new UpstreamVersion("v3");
  private static final long ORDERED_MS = 1_000;
  private static final long DURATION_MS = 12_000;
  private static final long LATER_MS = 60_000;

  private final RolloutStore book = new RolloutStore(0, List.of());

  private RolloutOrderResult order(UpstreamVersion to, long logTimeMs, UpstreamVersion... inForce) {
    return book.order(new RolloutOrder(SERVICE, to, DURATION_MS), List.of(inForce), logTimeMs);
  }

  private TrafficPolicy use(UpstreamVersion version) {
    return book.find(SERVICE).orElseThrow().trafficPolicy(Optional.of(version));
  }

  private void turn(RolloutPhase phase) {
    assertThat(book.turn(SERVICE, ORDERED_MS, phase, RolloutReason.PROVEN)).isTrue();
  }

  @Test
  void orderedVersionIsCanaryAndOthersAreBarred() {
    assertThat(order(V2, ORDERED_MS, V1)).isEqualTo(RolloutOrderResult.ACCEPTED);
    assertThat(use(V1)).isEqualTo(TrafficPolicy.ALL);
    assertThat(use(V2)).isEqualTo(TrafficPolicy.CANARY);
    assertThat(use(V3)).isEqualTo(TrafficPolicy.NONE);
  }

  @Test
  void upstreamWithoutVersionCountsAsOneOfBefore() {
    order(V2, ORDERED_MS, V1);
    Rollout rollout = book.find(SERVICE).orElseThrow();
    assertThat(rollout.trafficPolicy(Optional.empty())).isEqualTo(TrafficPolicy.ALL);
  }

  @Test
  void completedVersionAloneIsFree() {
    order(V2, ORDERED_MS, V1);
    turn(RolloutPhase.SHIFTING);
    assertThat(use(V1)).isEqualTo(TrafficPolicy.NONE);
    assertThat(use(V2)).isEqualTo(TrafficPolicy.ALL);
    turn(RolloutPhase.COMPLETED);
    assertThat(use(V1)).isEqualTo(TrafficPolicy.NONE);
    assertThat(use(V2)).isEqualTo(TrafficPolicy.ALL);
  }

  @Test
  void rolledBackVersionIsBarred() {
    order(V2, ORDERED_MS, V1);
    turn(RolloutPhase.ROLLED_BACK);
    assertThat(use(V1)).isEqualTo(TrafficPolicy.ALL);
    assertThat(use(V2)).isEqualTo(TrafficPolicy.NONE);
  }

  @Test
  void endedRolloutTurnsNoMore() {
    order(V2, ORDERED_MS, V1);
    turn(RolloutPhase.ROLLED_BACK);
    assertThat(book.turn(SERVICE, ORDERED_MS, RolloutPhase.SHIFTING, RolloutReason.PROVEN))
        .isFalse();
    assertThat(book.turn(SERVICE, ORDERED_MS, RolloutPhase.COMPLETED, RolloutReason.IN_FORCE))
        .isFalse();
  }

  /** A leader that was overtaken completes a version that was never shifted to. */
  @Test
  void runningRolloutIsNotCompletedAtOnce() {
    order(V2, ORDERED_MS, V1);
    assertThat(book.turn(SERVICE, ORDERED_MS, RolloutPhase.COMPLETED, RolloutReason.IN_FORCE))
        .isFalse();
  }

  @Test
  void secondOrderIsRefusedWhileOneRuns() {
    order(V2, ORDERED_MS, V1);
    assertThat(order(V2, ORDERED_MS, V1)).isEqualTo(RolloutOrderResult.ALREADY_RUNNING);
    assertThat(order(V3, ORDERED_MS, V1)).isEqualTo(RolloutOrderResult.ALREADY_RUNNING);
    assertThat(book.find(SERVICE).orElseThrow().order().to()).isEqualTo(V2);
  }

  /** The answer to an order is lost, its version is rolled back, and the order comes again. */
  @Test
  void resentOrderBeginsNothingAnew() {
    order(V2, ORDERED_MS, V1);
    turn(RolloutPhase.ROLLED_BACK);
    assertThat(order(V2, ORDERED_MS + 4_000, V1)).isEqualTo(RolloutOrderResult.REPEATED);
    assertThat(use(V2)).isEqualTo(TrafficPolicy.NONE);
  }

  @Test
  void versionThatWasRolledBackMayBeOrderedAnew() {
    order(V2, ORDERED_MS, V1);
    turn(RolloutPhase.ROLLED_BACK);
    assertThat(order(V2, LATER_MS, V1, V2)).isEqualTo(RolloutOrderResult.ACCEPTED);
    assertThat(use(V1)).isEqualTo(TrafficPolicy.ALL);
    assertThat(use(V2)).isEqualTo(TrafficPolicy.CANARY);
  }

  /** Upstreams of a version that was rolled back are still registered at the next order. */
  @Test
  void versionThatWasRolledBackDoesNotComeIntoForceByTheNextOrder() {
    order(V2, ORDERED_MS, V1);
    turn(RolloutPhase.ROLLED_BACK);
    order(V3, LATER_MS, V1, V2);
    assertThat(use(V1)).isEqualTo(TrafficPolicy.ALL);
    assertThat(use(V2)).isEqualTo(TrafficPolicy.NONE);
  }

  @Test
  void versionInForceIsNotOrdered() {
    assertThat(order(V1, ORDERED_MS, V1)).isEqualTo(RolloutOrderResult.ALREADY_IN_FORCE);
    order(V2, ORDERED_MS, V1);
    turn(RolloutPhase.SHIFTING);
    turn(RolloutPhase.COMPLETED);
    assertThat(order(V2, LATER_MS, V1, V2)).isEqualTo(RolloutOrderResult.ALREADY_IN_FORCE);
  }

  @Test
  void absurdDurationsAreRefused() {
    for (long durationMs : new long[] {-1, 0, Long.MAX_VALUE}) {
      RolloutOrder order = new RolloutOrder(SERVICE, V2, durationMs);
      assertThat(book.order(order, List.of(V1), ORDERED_MS))
          .isEqualTo(RolloutOrderResult.BAD_DURATION);
    }
    assertThat(book.all()).isEmpty();
  }

  @Test
  void accountNeverShrinks() {
    order(V2, ORDERED_MS, V1);
    book.account(SERVICE, ORDERED_MS, new ExposureCounters(20, 100));
    book.account(SERVICE, ORDERED_MS, new ExposureCounters(10, 120));
    assertThat(book.find(SERVICE).orElseThrow().account()).isEqualTo(new ExposureCounters(20, 120));
  }
}
