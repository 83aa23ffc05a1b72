package org.teaseltrail.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.backpressure.RejectionLimit;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.serving.ServingMessage;

/** Tests that a VM and its leader agree on the limits although messages between them are lost. */
class RejectionLimitTrackerTest {

  private static final ServiceId SERVICE = new ServiceId("s");
  private static final FencingNumber FIRST = new FencingNumber(1);
  private static final FencingNumber SECOND = new FencingNumber(2);
  private static final long SECOND_NS = 1_000_000_000L;

  private final RejectionLimitTracker tracker = new RejectionLimitTracker(new VmId("entry-1"));
  private long nowNs = 10 * SECOND_NS;

  private void hear() {
    tracker.record(SERVICE, new RejectionLimit(3), nowNs, nowNs);
  }

  private Optional<ServingMessage.RejectionLimits> report() {
    nowNs += SECOND_NS;
    return tracker.createReport(nowNs).map(ServingMessage.RejectionLimits.class::cast);
  }

  private void answer(FencingNumber leadership, ServiceId... services) {
    tracker.applyUpdate(leadership, List.of(services), nowNs);
  }

  @Test
  void nothingIsReportedWithoutLimits() {
    assertThat(report()).isEmpty();
  }

  /** Guards against a limit that is in force at one VM because its report was lost. */
  @Test
  void limitIsReportedUntilTheLeaderListsIt() {
    hear();
    assertThat(report().orElseThrow().limited()).containsExactly(SERVICE);
    assertThat(report().orElseThrow().limited()).containsExactly(SERVICE);
    answer(FIRST, SERVICE);
    assertThat(report().orElseThrow().limited()).isEmpty();
  }

  /** Guards against a limit that goes on at a VM which missed the list without it. */
  @Test
  void vmThatMissedTheEndOfLimitAsksAgain() {
    hear();
    report();
    answer(FIRST, SERVICE);
    report();
    assertThat(report()).as("the list without the limit was lost").isPresent();
    answer(FIRST);
    assertThat(tracker.isSensitive(SERVICE)).isFalse();
    assertThat(report()).isEmpty();
  }

  /** Guards against limits that a new leader lifts because the report before its start was lost. */
  @Test
  void newLeaderThatKnowsNothingIsTold() {
    hear();
    report();
    answer(FIRST, SERVICE);
    answer(SECOND);
    assertThat(tracker.isSensitive(SERVICE)).isTrue();
    assertThat(report().orElseThrow().limited()).containsExactly(SERVICE);
    answer(SECOND, SERVICE);
    answer(SECOND);
    assertThat(tracker.isSensitive(SERVICE)).isFalse();
  }
}
