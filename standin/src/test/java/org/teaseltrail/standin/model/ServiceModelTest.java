package org.teaseltrail.standin.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.UpstreamPhase;

class ServiceModelTest {

  private static final RequestId A = new RequestId("a");
  private static final RequestId B = new RequestId("b");

  private final ServiceModel model = model(0);
  private final List<ServiceAction> actions = new ArrayList<>();
  private long nowNs;

  @Test
  void callTakesItsDurationAndFurtherCallsWait() {
    now(new ServiceEvent.Call(A));
    now(new ServiceEvent.Call(B));
    untilMs(19);
    assertThat(responses()).isEmpty();
    untilMs(20);
    assertThat(responses()).containsExactly(new ServiceAction.Respond(A, 1));
    untilMs(40);
    assertThat(responses()).hasSize(2);
  }

  // An entry VM retries a call that the service has already executed, which would corrupt the
  // caller's data. The model must execute and count the second call, so that a measurement detects
  // the duplicate execution.
  @Test
  void duplicateExecutionIsCounted() {
    now(new ServiceEvent.Call(A));
    now(new ServiceEvent.Call(A));
    untilMs(100);
    assertThat(responses())
        .containsExactly(new ServiceAction.Respond(A, 1), new ServiceAction.Respond(A, 2));
    assertThat(model.executionsByRequest()).containsEntry(A, 2);
  }

  @Test
  void stragglerTakesLonger() {
    now(new ServiceEvent.SetStragglerFactor(4));
    now(new ServiceEvent.Call(A));
    untilMs(79);
    assertThat(responses()).isEmpty();
    untilMs(80);
    assertThat(responses()).hasSize(1);
  }

  @Test
  void leavingServiceCompletesCallsThatStillArrive() {
    now(new ServiceEvent.Call(A));
    now(new ServiceEvent.Drain());
    now(new ServiceEvent.Call(B));
    assertThat(lastAnnouncement().phase()).isEqualTo(UpstreamPhase.LEAVING);
    untilMs(30);
    assertThat(actions).doesNotContain(new ServiceAction.Drained());
    untilMs(40);
    assertThat(responses()).hasSize(2);
    assertThat(actions).contains(new ServiceAction.Drained());
  }

  @Test
  void crashReportsWhichCallsMayHaveRun() {
    now(new ServiceEvent.Call(A));
    now(new ServiceEvent.Call(B));
    now(new ServiceEvent.Crash());
    assertThat(actions)
        .contains(new ServiceAction.Unreachable(A, true), new ServiceAction.Unreachable(B, false));
    now(new ServiceEvent.Restart(new Incarnation(2)));
    assertThat(lastAnnouncement().incarnation()).isEqualTo(new Incarnation(2));
  }

  @Test
  void timesSpreadAroundTheMedian() {
    ServiceModel spread = model(0.5);
    long done = 0;
    for (int i = 0; i < 200; i++) {
      long startNs = i * 1_000_000_000L;
      spread.handle(new ServiceEvent.Call(new RequestId("r" + i)), startNs);
      done +=
          spread.handle(new ServiceEvent.Tick(), startNs + 20_000_000L).stream()
              .filter(ServiceAction.Respond.class::isInstance)
              .count();
    }
    assertThat(done).isBetween(75L, 125L);
  }

  private static ServiceModel model(double sigma) {
    UpstreamIdentity identity = EngineSimulation.settings().identity();
    ServiceSettings settings =
        new ServiceSettings(
            identity, new ServiceId("portal-app"), ReportingProfile.standard(), 20, sigma, 1, 1, 3);
    return new ServiceModel(settings, 0);
  }

  private void now(ServiceEvent event) {
    actions.addAll(model.handle(event, nowNs));
  }

  private void untilMs(long atMs) {
    nowNs = atMs * EngineSimulation.MS;
    now(new ServiceEvent.Tick());
  }

  private List<ServiceAction> responses() {
    return actions.stream().filter(ServiceAction.Respond.class::isInstance).toList();
  }

  private Announcement lastAnnouncement() {
    List<Announcement> all =
        actions.stream()
            .filter(ServiceAction.Announce.class::isInstance)
            .map(action -> ((ServiceAction.Announce) action).announcement())
            .toList();
    return all.get(all.size() - 1);
  }
}
