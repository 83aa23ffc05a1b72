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
  private static final Incarnation LIFE = new Incarnation(1);
  private static final RouteId LONG = new RouteId("long");
  private static final RouteId SHORT = new RouteId("short");
  private static final long SLICE_NS = 500_000_000L;
  private static final int PAUSE_BUCKET = 10;
  private static final int FOUR_TIMES_BUCKETS = 6;

  private final CanaryAnalyzer judge = new CanaryAnalyzer(0);
  private final SplittableRandom random = new SplittableRandom(5);
  private final List<Observation> seen = new ArrayList<>();
  private long told;
  private long nowNs;

  private void see(RouteId route, String upstream, boolean ordered, Symptom symptom, int value) {
    seen.add(new Observation(route, new UpstreamId(upstream), ordered, symptom, 1, value));
  }

  private void fail(RouteId route, String upstream, boolean ordered, double share) {
    int value = random.nextDouble() < share ? Observation.FAILED : Observation.GOOD;
    see(route, upstream, ordered, Symptom.FAILURE, value);
  }

  private void endSlice() {
    told = judge.recordReport(VM, LIFE, told, seen);
    seen.clear();
    nowNs += SLICE_NS;
    judge.tick(nowNs);
  }

  @Test
  void versionThatFailsIsBad() {
    for (int slice = 0; slice < 12 && judge.verdict().isEmpty(); slice++) {
      for (int i = 0; i < 10; i++) {
        fail(LONG, "old-" + i, false, 0.01);
        fail(LONG, "new-" + i % 3, true, 0.4);
      }
      endSlice();
    }
    assertThat(judge.verdict().orElseThrow().reason()).isEqualTo(RolloutReason.FAILURES);
  }

  /** Upstreams of both versions crash in a wave, and the good version is rolled back for it. */
  @Test
  void waveOfFailuresThatHitsBothVersionsIsNoEvidence() {
    for (int slice = 0; slice < 40; slice++) {
      for (int i = 0; i < 30; i++) {
        fail(LONG, "old-" + i, false, 0.4);
      }
      for (int i = 0; i < 3; i++) {
        fail(LONG, "new-" + i, true, 0.4);
      }
      endSlice();
    }
    assertThat(judge.verdict()).isEmpty();
  }

  /** One upstream ends with all that it worked on, and its version is rolled back for it. */
  @Test
  void endOfOneUpstreamIsNoEvidence() {
    for (int slice = 0; slice < 10; slice++) {
      for (int i = 0; i < 10; i++) {
        fail(LONG, "old-" + i, false, 0);
        fail(LONG, "new-" + i % 3, true, 0);
      }
      endSlice();
    }
    see(LONG, "new-0", true, Symptom.FAILURE, Observation.FAILED);
    for (int i = 0; i < 9; i++) {
      see(LONG, "new-1", true, Symptom.FAILURE, Observation.BROKEN);
    }
    endSlice();
    assertThat(judge.verdict()).isEmpty();
  }

  /** One upstream of a good version is sick by itself. */
  @Test
  void failuresOfOneUpstreamAloneAreNoEvidence() {
    for (int slice = 0; slice < 20; slice++) {
      for (int i = 0; i < 4; i++) {
        fail(LONG, "old-" + i, false, 0);
        fail(LONG, "new-" + i, true, i == 0 ? 0.8 : 0);
      }
      endSlice();
    }
    assertThat(judge.verdict()).isEmpty();
  }

  /** The failures of a small route drown in the good answers of a large one. */
  @Test
  void versionThatFailsOnSmallRouteOnlyIsBad() {
    for (int slice = 0; slice < 24 && judge.verdict().isEmpty(); slice++) {
      for (int i = 0; i < 20; i++) {
        fail(LONG, "old-" + i, false, 0.02);
        fail(LONG, "new-" + i % 4, true, 0.02);
      }
      for (int i = 0; i < 2; i++) {
        fail(SHORT, "old-" + i, false, 0.02);
        fail(SHORT, "new-" + i, true, 0.5);
      }
      endSlice();
    }
    assertThat(judge.verdict().orElseThrow().route()).contains(SHORT);
  }

  /** A version that was good for long turns bad; its good answers would outweigh the bad ones. */
  @Test
  void versionThatTurnsBadLateIsFoundAsSoon() {
    for (int slice = 0; slice < 40; slice++) {
      for (int i = 0; i < 10; i++) {
        fail(LONG, "old-" + i, false, 0);
        fail(LONG, "new-" + i % 3, true, 0);
      }
      endSlice();
    }
    int slices = 0;
    while (judge.verdict().isEmpty() && slices < 12) {
      for (int i = 0; i < 10; i++) {
        fail(LONG, "old-" + i, false, 0);
        fail(LONG, "new-" + i % 3, true, 0.4);
      }
      endSlice();
      slices++;
    }
    assertThat(judge.verdict()).isPresent();
  }

  @Test
  void versionWhoseAnswersAreSlowAtTimesIsBad() {
    playPauses(0.4, FOUR_TIMES_BUCKETS, 0);
    assertThat(judge.verdict().orElseThrow().reason()).isEqualTo(RolloutReason.SLOW_STREAM);
  }

  @Test
  void versionWhoseAnswersAreAllSlowIsBad() {
    playPauses(0, 0, 2 * FOUR_TIMES_BUCKETS);
    assertThat(judge.verdict().orElseThrow().reason()).isEqualTo(RolloutReason.SLOW_STREAM);
  }

  /** Upstreams differ in speed, and the canary's few ones may be slow ones. */
  @Test
  void versionWithSlowUpstreamsAmongItsOwnIsGood() {
    playPauses(0, 0, 3);
    assertThat(judge.verdict()).isEmpty();
  }

  private void playPauses(double slowShare, int slowBuckets, int allBuckets) {
    for (int slice = 0; slice < 24 && judge.verdict().isEmpty(); slice++) {
      for (int upstream = 0; upstream < 8; upstream++) {
        int own = upstream - 4;
        see(LONG, "old-" + upstream, false, Symptom.SLOW_STREAM, pause(own, 0, 0));
        see(LONG, "old-" + upstream, false, Symptom.SLOW_STREAM, pause(own, 0, 0));
        if (upstream < 5) {
          int value = pause(own + allBuckets, slowShare, slowBuckets);
          see(LONG, "new-" + upstream, true, Symptom.SLOW_STREAM, value);
        }
      }
      endSlice();
    }
  }

  private int pause(int own, double slowShare, int slowBuckets) {
    int slow = random.nextDouble() < slowShare ? slowBuckets : 0;
    return PAUSE_BUCKET + own + slow + random.nextInt(3);
  }

  /** A report is sent again as its answer was lost; its failures must not count twice. */
  @Test
  void whatIsToldAgainCountsOnce() {
    List<Observation> three = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      three.add(
          new Observation(
              LONG, new UpstreamId("new"), true, Symptom.FAILURE, 1, Observation.FAILED));
    }
    assertThat(judge.recordReport(VM, LIFE, 0, three)).isEqualTo(3);
    assertThat(judge.recordReport(VM, LIFE, 0, three)).isEqualTo(3);
    assertThat(judge.targetAnswerCount()).isEqualTo(3);
  }
}
