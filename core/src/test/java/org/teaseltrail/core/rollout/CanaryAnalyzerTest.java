package org.teaseltrail.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;

class CanaryAnalyzerTest {

  private static final VmId VM = new VmId("vm");
  private static final Incarnation INCARNATION = new Incarnation(1);
  private static final RouteId LONG = new RouteId("long");
  private static final RouteId SHORT = new RouteId("short");
  private static final long INTERVAL_NS = 500_000_000L;
  private static final int MEDIAN_GAP_BUCKET = 10;
  private static final int FOUR_TIMES_BUCKETS = 6;

  private final CanaryAnalyzer analyzer = new CanaryAnalyzer(0);
  private final SplittableRandom random = new SplittableRandom(5);
  private final List<Observation> observations = new ArrayList<>();
  private long nextNumber;
  private long nowNs;

  private void observe(
      RouteId route, String upstream, boolean ordered, Symptom symptom, int value) {
    observations.add(new Observation(route, new UpstreamId(upstream), ordered, symptom, 1, value));
  }

  private void observeFailure(RouteId route, String upstream, boolean ordered, double share) {
    int value = random.nextDouble() < share ? Observation.FAILED : Observation.GOOD;
    observe(route, upstream, ordered, Symptom.FAILURE, value);
  }

  private void endInterval() {
    nextNumber = analyzer.recordReport(VM, INCARNATION, nextNumber, observations);
    observations.clear();
    nowNs += INTERVAL_NS;
    analyzer.tick(nowNs);
  }

  @Test
  void versionThatFailsIsBad() {
    for (int interval = 0; interval < 12 && analyzer.verdict().isEmpty(); interval++) {
      for (int i = 0; i < 10; i++) {
        observeFailure(LONG, "old-" + i, false, 0.01);
        observeFailure(LONG, "new-" + i % 3, true, 0.4);
      }
      endInterval();
    }
    assertThat(analyzer.verdict().orElseThrow().reason()).isEqualTo(RolloutReason.FAILURES);
  }

  /** A wave of crashes at upstreams of both versions must not roll back a good version. */
  @Test
  void waveOfFailuresThatHitsBothVersionsIsNoEvidence() {
    for (int interval = 0; interval < 40; interval++) {
      for (int i = 0; i < 30; i++) {
        observeFailure(LONG, "old-" + i, false, 0.4);
      }
      for (int i = 0; i < 3; i++) {
        observeFailure(LONG, "new-" + i, true, 0.4);
      }
      endInterval();
    }
    assertThat(analyzer.verdict()).isEmpty();
  }

  /** A crash of one upstream, which fails all its requests, must not roll back its version. */
  @Test
  void endOfOneUpstreamIsNoEvidence() {
    for (int interval = 0; interval < 10; interval++) {
      for (int i = 0; i < 10; i++) {
        observeFailure(LONG, "old-" + i, false, 0);
        observeFailure(LONG, "new-" + i % 3, true, 0);
      }
      endInterval();
    }
    observe(LONG, "new-0", true, Symptom.FAILURE, Observation.FAILED);
    for (int i = 0; i < 9; i++) {
      observe(LONG, "new-1", true, Symptom.FAILURE, Observation.BROKEN);
    }
    endInterval();
    assertThat(analyzer.verdict()).isEmpty();
  }

  /** A single faulty upstream must not roll back a good version. */
  @Test
  void failuresOfOneUpstreamAloneAreNoEvidence() {
    for (int interval = 0; interval < 20; interval++) {
      for (int i = 0; i < 4; i++) {
        observeFailure(LONG, "old-" + i, false, 0);
        observeFailure(LONG, "new-" + i, true, i == 0 ? 0.8 : 0);
      }
      endInterval();
    }
    assertThat(analyzer.verdict()).isEmpty();
  }

  /** The failures on a route with little traffic are hidden by the good answers on a busy one. */
  @Test
  void versionThatFailsOnSmallRouteOnlyIsBad() {
    for (int interval = 0; interval < 24 && analyzer.verdict().isEmpty(); interval++) {
      for (int i = 0; i < 20; i++) {
        observeFailure(LONG, "old-" + i, false, 0.02);
        observeFailure(LONG, "new-" + i % 4, true, 0.02);
      }
      for (int i = 0; i < 2; i++) {
        observeFailure(SHORT, "old-" + i, false, 0.02);
        observeFailure(SHORT, "new-" + i, true, 0.5);
      }
      endInterval();
    }
    assertThat(analyzer.verdict().orElseThrow().route()).contains(SHORT);
  }

  /** Good answers from before a version turns faulty must not delay the detection of the fault. */
  @Test
  void versionThatTurnsBadLateIsFoundAsSoon() {
    for (int interval = 0; interval < 40; interval++) {
      for (int i = 0; i < 10; i++) {
        observeFailure(LONG, "old-" + i, false, 0);
        observeFailure(LONG, "new-" + i % 3, true, 0);
      }
      endInterval();
    }
    int intervals = 0;
    while (analyzer.verdict().isEmpty() && intervals < 12) {
      for (int i = 0; i < 10; i++) {
        observeFailure(LONG, "old-" + i, false, 0);
        observeFailure(LONG, "new-" + i % 3, true, 0.4);
      }
      endInterval();
      intervals++;
    }
    assertThat(analyzer.verdict()).isPresent();
  }

  @Test
  void versionWhoseAnswersAreSlowAtTimesIsBad() {
    observeGaps(0.4, FOUR_TIMES_BUCKETS, 0);
    assertThat(analyzer.verdict().orElseThrow().reason()).isEqualTo(RolloutReason.SLOW_STREAM);
  }

  @Test
  void versionWhoseAnswersAreAllSlowIsBad() {
    observeGaps(0, 0, 2 * FOUR_TIMES_BUCKETS);
    assertThat(analyzer.verdict().orElseThrow().reason()).isEqualTo(RolloutReason.SLOW_STREAM);
  }

  /** Upstreams differ in speed, and the few canary upstreams may happen to be slow ones. */
  @Test
  void versionWithSlowUpstreamsAmongItsOwnIsGood() {
    observeGaps(0, 0, 3);
    assertThat(analyzer.verdict()).isEmpty();
  }

  private void observeGaps(double slowShare, int slowBuckets, int allBuckets) {
    for (int interval = 0; interval < 24 && analyzer.verdict().isEmpty(); interval++) {
      for (int upstream = 0; upstream < 8; upstream++) {
        int offset = upstream - 4;
        observe(LONG, "old-" + upstream, false, Symptom.SLOW_STREAM, gapBucket(offset, 0, 0));
        observe(LONG, "old-" + upstream, false, Symptom.SLOW_STREAM, gapBucket(offset, 0, 0));
        if (upstream < 5) {
          int value = gapBucket(offset + allBuckets, slowShare, slowBuckets);
          observe(LONG, "new-" + upstream, true, Symptom.SLOW_STREAM, value);
        }
      }
      endInterval();
    }
  }

  private int gapBucket(int offset, double slowShare, int slowBuckets) {
    int slow = random.nextDouble() < slowShare ? slowBuckets : 0;
    return MEDIAN_GAP_BUCKET + offset + slow + random.nextInt(3);
  }

  /** The failures in a report that is resent, because its reply was lost, must count only once. */
  @Test
  void resentReportCountsOnce() {
    List<Observation> three = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      three.add(
          new Observation(
              LONG, new UpstreamId("new"), true, Symptom.FAILURE, 1, Observation.FAILED));
    }
    assertThat(analyzer.recordReport(VM, INCARNATION, 0, three)).isEqualTo(3);
    assertThat(analyzer.recordReport(VM, INCARNATION, 0, three)).isEqualTo(3);
    assertThat(analyzer.targetAnswerCount()).isEqualTo(3);
  }
}
