package org.teaseltrail.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.backpressure.RateLimit;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.serving.ServingMessage;

/** Tests how one entry VM applies the backpressure signals in upstreams' responses. */
class BackpressureHandlerTest extends ForwardNodeTestBase {

  private static final RateLimit LIMIT = new RateLimit(1.6);
  private static final int SLOTS = 4;
  private static final int BACKOFF_MS = 1_000;

  private final Registration upstream = upstream("e1", TestPlans.ENGINES, SLOTS);
  private final UpstreamIncarnation life = upstream.upstreamIncarnation();

  @BeforeEach
  void serve() {
    serveWith(TestPlans.plan(1), upstream);
  }

  /** A response to a request from before the overload is read after one that names the limit. */
  @Test
  void olderAnswerLiftsNoLimit() {
    long beforeNs = nowNs;
    advanceMs(100);
    assertThat(node.backpressure().limit(life, LIMIT, beforeNs, nowNs)).isTrue();
    advanceMs(1);
    assertThat(node.backpressure().limit(life, RateLimit.UNLIMITED, beforeNs, nowNs)).isFalse();
    arrive("/stream/x");
    assertThat(dispatches()).isEmpty();
  }

  /**
   * A leader that missed the limit grants no permits, so that the upstream never receives a request
   * again.
   */
  @Test
  void limitInEffectIsReportedRepeatedly() {
    node.backpressure().limit(life, LIMIT, nowNs, nowNs);
    List<Long> toldMs = new ArrayList<>();
    for (int ms = 0; ms < 10_000; ms += 50) {
      advanceMs(50);
      boolean reported =
          actions.stream()
              .filter(ForwardAction.SendControl.class::isInstance)
              .map(action -> ((ForwardAction.SendControl) action).message())
              .filter(ServingMessage.Limits.class::isInstance)
              .anyMatch(message -> !((ServingMessage.Limits) message).sightings().isEmpty());
      if (reported) {
        toldMs.add((long) ms);
      }
      confirm(1);
    }
    assertThat(toldMs).anyMatch(ms -> ms > 5_000).anyMatch(ms -> ms > 8_000);
  }

  @Test
  void answerToLaterRequestLiftsTheLimit() {
    node.backpressure().limit(life, LIMIT, nowNs, nowNs);
    advanceMs(1);
    long dispatchedNs = nowNs;
    advanceMs(50);
    assertThat(node.backpressure().limit(life, RateLimit.UNLIMITED, dispatchedNs, nowNs)).isTrue();
    arrive("/stream/x");
    assertThat(dispatches()).containsExactly("e1");
  }

  /**
   * A stream from before the backoff ends after it. If that counted as the end of the backoff, all
   * queued requests would be sent and rejected.
   */
  @Test
  void oldAnswerDoesNotShowThatTheBackoffIsOver() {
    final long old = arrive("/stream/x");
    node.backpressure().startBackoff(life, BACKOFF_MS, nowNs);
    advanceMs(BACKOFF_MS);
    final long asking = arrive("/resumable/x");
    assertThat(dispatches()).containsExactly("e1");
    end(old, AttemptOutcome.ANSWERED);
    arrive("/resumable/x");
    assertThat(dispatches()).isEmpty();
    end(asking, AttemptOutcome.ANSWERED);
    assertThat(dispatches()).hasSize(1);
    arrive("/resumable/x");
    assertThat(dispatches()).hasSize(1);
  }

  /**
   * An upstream that is full for a moment names no duration, and receives one request at a time.
   */
  @Test
  void backoffOfNoTimeIsNone() {
    assertThat(node.backpressure().startBackoff(life, 0, nowNs)).isFalse();
    arrive("/stream/x");
    assertThat(dispatches()).hasSize(1);
    arrive("/stream/x");
    assertThat(dispatches()).hasSize(1);
  }

  /** A dispatched request gets its connection only after the upstream requested backoff. */
  @Test
  void dispatchedRequestIsWithheldAndTriesElsewhereForFree() {
    long number = arrive("/stream/x");
    node.backpressure().startBackoff(life, BACKOFF_MS, nowNs);
    assertThat(node.backpressure().canSend(life, nowNs)).isFalse();
    end(number, AttemptOutcome.WITHHELD);
    assertThat(refusals()).containsExactly(RefusalReason.NOT_RUN);
    assertThat(retriesAfterMs()).containsExactly((long) BACKOFF_MS);
  }
}
