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

  private final RolloutStore store = new RolloutStore(0, List.of());

  private RolloutOrderResult order(UpstreamVersion to, long logTimeMs, UpstreamVersion... inForce) {
    return store.order(new RolloutOrder(SERVICE, to, DURATION_MS), List.of(inForce), logTimeMs);
  }

  private TrafficPolicy policyOf(UpstreamVersion version) {
    return store.find(SERVICE).orElseThrow().trafficPolicy(Optional.of(version));
  }

  private void transitionTo(RolloutPhase phase) {
    assertThat(store.turn(SERVICE, ORDERED_MS, phase, RolloutReason.PROVEN)).isTrue();
  }

  @Test
  void targetVersionIsCanaryAndUnknownVersionGetsNoTraffic() {
    assertThat(order(V2, ORDERED_MS, V1)).isEqualTo(RolloutOrderResult.ACCEPTED);
    assertThat(policyOf(V1)).isEqualTo(TrafficPolicy.ALL);
    assertThat(policyOf(V2)).isEqualTo(TrafficPolicy.CANARY);
    assertThat(policyOf(V3)).isEqualTo(TrafficPolicy.NONE);
  }

  @Test
  void upstreamWithoutVersionCountsAsPreviousVersion() {
    order(V2, ORDERED_MS, V1);
    Rollout rollout = store.find(SERVICE).orElseThrow();
    assertThat(rollout.trafficPolicy(Optional.empty())).isEqualTo(TrafficPolicy.ALL);
  }

  @Test
  void onlyCompletedVersionGetsTraffic() {
    order(V2, ORDERED_MS, V1);
    transitionTo(RolloutPhase.SHIFTING);
    assertThat(policyOf(V1)).isEqualTo(TrafficPolicy.NONE);
    assertThat(policyOf(V2)).isEqualTo(TrafficPolicy.ALL);
    transitionTo(RolloutPhase.COMPLETED);
    assertThat(policyOf(V1)).isEqualTo(TrafficPolicy.NONE);
    assertThat(policyOf(V2)).isEqualTo(TrafficPolicy.ALL);
  }

  @Test
  void rolledBackVersionGetsNoTraffic() {
    order(V2, ORDERED_MS, V1);
    transitionTo(RolloutPhase.ROLLED_BACK);
    assertThat(policyOf(V1)).isEqualTo(TrafficPolicy.ALL);
    assertThat(policyOf(V2)).isEqualTo(TrafficPolicy.NONE);
  }

  @Test
  void endedRolloutChangesPhaseNoMore() {
    order(V2, ORDERED_MS, V1);
    transitionTo(RolloutPhase.ROLLED_BACK);
    assertThat(store.turn(SERVICE, ORDERED_MS, RolloutPhase.SHIFTING, RolloutReason.PROVEN))
        .isFalse();
    assertThat(store.turn(SERVICE, ORDERED_MS, RolloutPhase.COMPLETED, RolloutReason.IN_FORCE))
        .isFalse();
  }

  /** A deposed leader must not complete a rollout whose traffic was never shifted. */
  @Test
  void runningRolloutIsNotCompletedAtOnce() {
    order(V2, ORDERED_MS, V1);
    assertThat(store.turn(SERVICE, ORDERED_MS, RolloutPhase.COMPLETED, RolloutReason.IN_FORCE))
        .isFalse();
  }

  @Test
  void secondOrderIsRefusedWhileOneRuns() {
    order(V2, ORDERED_MS, V1);
    assertThat(order(V2, ORDERED_MS, V1)).isEqualTo(RolloutOrderResult.ALREADY_RUNNING);
    assertThat(order(V3, ORDERED_MS, V1)).isEqualTo(RolloutOrderResult.ALREADY_RUNNING);
    assertThat(store.find(SERVICE).orElseThrow().order().to()).isEqualTo(V2);
  }

  /** The reply to an order is lost, its version is rolled back, and the order is sent again. */
  @Test
  void resentOrderBeginsNothingAnew() {
    order(V2, ORDERED_MS, V1);
    transitionTo(RolloutPhase.ROLLED_BACK);
    assertThat(order(V2, ORDERED_MS + 4_000, V1)).isEqualTo(RolloutOrderResult.REPEATED);
    assertThat(policyOf(V2)).isEqualTo(TrafficPolicy.NONE);
  }

  @Test
  void versionThatWasRolledBackMayBeOrderedAnew() {
    order(V2, ORDERED_MS, V1);
    transitionTo(RolloutPhase.ROLLED_BACK);
    assertThat(order(V2, LATER_MS, V1, V2)).isEqualTo(RolloutOrderResult.ACCEPTED);
    assertThat(policyOf(V1)).isEqualTo(TrafficPolicy.ALL);
    assertThat(policyOf(V2)).isEqualTo(TrafficPolicy.CANARY);
  }

  /** Upstreams of a rolled-back version are still registered when the next order is issued. */
  @Test
  void versionThatWasRolledBackDoesNotComeIntoForceByTheNextOrder() {
    order(V2, ORDERED_MS, V1);
    transitionTo(RolloutPhase.ROLLED_BACK);
    order(V3, LATER_MS, V1, V2);
    assertThat(policyOf(V1)).isEqualTo(TrafficPolicy.ALL);
    assertThat(policyOf(V2)).isEqualTo(TrafficPolicy.NONE);
  }

  @Test
  void versionInForceIsNotOrdered() {
    assertThat(order(V1, ORDERED_MS, V1)).isEqualTo(RolloutOrderResult.ALREADY_IN_FORCE);
    order(V2, ORDERED_MS, V1);
    transitionTo(RolloutPhase.SHIFTING);
    transitionTo(RolloutPhase.COMPLETED);
    assertThat(order(V2, LATER_MS, V1, V2)).isEqualTo(RolloutOrderResult.ALREADY_IN_FORCE);
  }

  @Test
  void invalidDurationsAreRefused() {
    for (long durationMs : new long[] {-1, 0, Long.MAX_VALUE}) {
      RolloutOrder order = new RolloutOrder(SERVICE, V2, durationMs);
      assertThat(store.order(order, List.of(V1), ORDERED_MS))
          .isEqualTo(RolloutOrderResult.BAD_DURATION);
    }
    assertThat(store.all()).isEmpty();
  }

  @Test
  void accountNeverShrinks() {
    order(V2, ORDERED_MS, V1);
    store.account(SERVICE, ORDERED_MS, new ExposureCounters(20, 100));
    store.account(SERVICE, ORDERED_MS, new ExposureCounters(10, 120));
    assertThat(store.find(SERVICE).orElseThrow().account())
        .isEqualTo(new ExposureCounters(20, 120));
  }
}
