package org.teaseltrail.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.PlanCustomer;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quota.QuotaGrant;
import org.teaseltrail.core.relay.RelayHop;
import org.teaseltrail.core.relay.RelayOutcome;
import org.teaseltrail.core.relay.RelaySettings;
import org.teaseltrail.core.serving.PeerVm;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.upstream.SocketAddress;

/** Tests what becomes of the requests that one entry VM has during a planned stop. */
class PlannedStopTest extends ForwardNodeTestBase {

  private static final long GRACE_MS = 4_000;
  private static final long SHORT_GRACE_MS = 400;
  private static final DrainSchedule TIMES = DrainSchedule.of(GRACE_MS);
  private static final DrainSchedule SHORT_TIMES = DrainSchedule.of(SHORT_GRACE_MS);

  private List<QuotaGrant> grants = super.grants();

  @Override
  ForwardSettings settings() {
    return ForwardSamples.settings(
        new VmId("entry-1"),
        1,
        List.of(MEMBER),
        1,
        ContentionSettings.OFF,
        new RelaySettings(Optional.of(new SocketAddress("10.0.1.1", 7601)), Optional.empty()));
  }

  @Override
  List<QuotaGrant> grants() {
    return grants;
  }

  private void stop(DrainSchedule schedule) {
    actions = node.beginDrain(schedule, nowNs, nowNs);
  }

  private List<RequestStage> stages() {
    return actions.stream()
        .filter(ForwardAction.Refuse.class::isInstance)
        .flatMap(action -> ((ForwardAction.Refuse) action).stage().stream())
        .toList();
  }

  private void serveOneSlot() {
    serveWith(TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 1));
  }

  private void serveOneEngineSlot() {
    serveWith(TestPlans.plan(1), upstream("e1", TestPlans.ENGINES, 1));
  }

  /** Guards against times of a stop that lie behind the kill, or in another order. */
  @ParameterizedTest
  @ValueSource(longs = {0, 1, 200, 2_000, 4_000, 8_000, 60_000, 1_000_000_000_000L})
  void timesFitGrace(long graceMs) {
    DrainSchedule schedule = DrainSchedule.of(graceMs);
    assertThat(
            List.of(
                schedule.lastRequestMs(),
                schedule.lastSendMs(),
                schedule.giveUpMs(),
                schedule.endMs(),
                graceMs))
        .isSorted();
    assertThat(schedule.minimumMs()).isLessThanOrEqualTo(schedule.giveUpMs());
  }

  /** Guards against a request that may not be repeated and is cut at an upstream. */
  @Test
  void requestAtUpstreamGetsAnswerThatPromisesNothing() {
    serveOneSlot();
    final long number = arrive("/unsafe/x");
    stop(TIMES);
    advanceMs(TIMES.giveUpMs() - 1);
    assertThat(refusals()).isEmpty();
    advanceMs(1);
    assertThat(actions).contains(new ForwardAction.Cancel(number));
    assertThat(refusals()).containsExactly(RefusalReason.GIVEN_UP);
    assertThat(stages()).containsExactly(RequestStage.AT_UPSTREAM);
  }

  /** Guards against a stream that is begun and kept until the kill cuts it. */
  @Test
  void begunStreamIsBrokenOff() {
    serveOneEngineSlot();
    long number = arrive("/stream/x");
    node.onResponseStarted(number, nowNs);
    stop(TIMES);
    advanceMs(TIMES.giveUpMs());
    assertThat(stages()).containsExactly(RequestStage.STREAM_BEGUN);
  }

  /** Guards against a request that gets its slot too late, instead of going to another VM. */
  @Test
  void requestThatWaitsForSlotGoesToAnotherVm() {
    serveOneEngineSlot();
    final long first = arrive("/stream/x");
    arrive("/stream/x");
    stop(SHORT_TIMES);
    advanceMs(SHORT_TIMES.lastSendMs());
    assertThat(refusals()).containsExactly(RefusalReason.ENDING);
    assertThat(stages()).containsExactly(RequestStage.WAITING_FOR_SLOT);
    assertThat(retriesAfterMs()).containsExactly(DrainSchedule.RETRY_AFTER_MS);
    end(first, AttemptOutcome.ANSWERED);
    assertThat(actions).contains(new ForwardAction.Deliver(first));
    assertThat(dispatches()).isEmpty();
  }

  /** Guards against an attempt that begins when there is no time left for it. */
  @Test
  void nothingIsTriedAgainLate() {
    serveWith(
        TestPlans.plan(1),
        upstream("p1", TestPlans.PLAIN, 1),
        upstream("p2", TestPlans.PLAIN, 1),
        upstream("p3", TestPlans.PLAIN, 1));
    final long notRun = arrive("/safe/x");
    final long maybeRan = arrive("/safe/x");
    stop(TIMES);
    advanceMs(TIMES.lastSendMs());
    end(notRun, AttemptOutcome.REFUSED);
    assertThat(dispatches()).isEmpty();
    assertThat(refusals()).containsExactly(RefusalReason.ENDING);
    assertThat(stages()).containsExactly(RequestStage.WAITING_FOR_RETRY);
    end(maybeRan, AttemptOutcome.BROKEN);
    assertThat(dispatches()).isEmpty();
    assertThat(refusals()).containsExactly(RefusalReason.GIVEN_UP);
  }

  /** Guards against an upstream's failure that is dropped for a retry that a stop doesn't allow. */
  @Test
  void failureThatIsReadyLateIsDelivered() {
    serveWith(
        TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 1), upstream("p2", TestPlans.PLAIN, 1));
    final long request = arrive("/safe/x");
    stop(TIMES);
    advanceMs(TIMES.lastSendMs());
    end(request, AttemptOutcome.FAILED_ANSWER);
    assertThat(actions).contains(new ForwardAction.Deliver(request));
    assertThat(refusals()).isEmpty();
  }

  /** Guards against an answer that is ready and dropped, as the VM stood still until the kill. */
  @Test
  void answerThatArrivedDuringStandstillIsDelivered() {
    serveWith(TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 2));
    final long answered = arrive("/unsafe/x");
    arrive("/unsafe/x");
    stop(TIMES);
    nowNs += TIMES.giveUpMs() * MS;
    end(answered, AttemptOutcome.ANSWERED);
    assertThat(actions).contains(new ForwardAction.Deliver(answered));
    advanceMs(0);
    assertThat(refusals()).containsExactly(RefusalReason.GIVEN_UP);
  }

  /** Guards against a request that is taken after a standstill, before any timer has run. */
  @Test
  void takesNothingAfterStandstill() {
    serveOneSlot();
    stop(TIMES);
    nowNs += TIMES.lastRequestMs() * MS;
    arrive("/safe/x");
    assertThat(refusals()).containsExactly(RefusalReason.ENDING);
  }

  /** Guards against requests without a plan that are cut by the kill. */
  @Test
  void requestThatWaitsForPlanGoesToAnotherVm() {
    arrive("/safe/x");
    stop(SHORT_TIMES);
    advanceMs(SHORT_TIMES.lastSendMs());
    assertThat(refusals()).containsExactly(RefusalReason.ENDING);
    assertThat(stages()).containsExactly(RequestStage.WAITING_FOR_PLAN);
  }

  /** Guards against requests that wait for their customer's quota and are cut by the kill. */
  @Test
  void requestThatWaitsForQuotaGoesToAnotherVm() {
    grants = List.of(new QuotaGrant(TestPlans.CUSTOMER, 0, 0, 0, 0, 0, 0));
    PlanCustomer limited = TestPlans.customer(TestPlans.KEY, 1e6);
    serveWith(TestPlans.plan(1, limited), upstream("p1", TestPlans.PLAIN, 1));
    arrive("/safe/x");
    assertThat(refusals()).isEmpty();
    stop(SHORT_TIMES);
    advanceMs(SHORT_TIMES.lastSendMs());
    assertThat(refusals()).containsExactly(RefusalReason.ENDING);
    assertThat(stages()).containsExactly(RequestStage.WAITING_FOR_QUOTA);
  }

  /** Guards against a request at a peer that is cut, or said not to have run. */
  @Test
  void requestAtPeerGetsAnswerThatPromisesNothing() {
    serveWith(
        TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 4), upstream("p2", TestPlans.PLAIN, 4));
    PeerVm peer =
        new PeerVm(new VmId("entry-2"), new SocketAddress("10.0.1.2", 7601), Optional.empty());
    node.onControlMessage(new ServingReply.Peers(TERM, 1, List.of(peer)), nowNs);
    long number = arrive("/safe/x");
    end(number, AttemptOutcome.NOT_CONNECTED);
    end(number, AttemptOutcome.NOT_CONNECTED);
    assertThat(actions).anyMatch(ForwardAction.Relay.class::isInstance);
    stop(TIMES);
    advanceMs(TIMES.giveUpMs());
    assertThat(actions).contains(new ForwardAction.Cancel(number));
    assertThat(refusals()).containsExactly(RefusalReason.GIVEN_UP);
    assertThat(stages()).containsExactly(RequestStage.AT_PEER);
  }

  /** Guards against a relayed request that ends with this VM though other VMs can serve it. */
  @Test
  void relayedRequestGoesBackToVmThatRelayedIt() {
    serveOneEngineSlot();
    RelayHop hop = new RelayHop(new VmId("entry-9"), 0, 0, false);
    stop(SHORT_TIMES);
    actions = node.onRelayedRequest(request(1, "/stream/x"), hop, nowNs);
    actions = node.onRelayedRequest(request(2, "/stream/x"), hop, nowNs);
    advanceMs(SHORT_TIMES.lastSendMs());
    assertThat(refusals().get(0).relayOutcome()).isEqualTo(RelayOutcome.DECLINED);
    advanceMs(SHORT_TIMES.giveUpMs() - SHORT_TIMES.lastSendMs());
    assertThat(refusals().get(0).relayOutcome()).isEqualTo(RelayOutcome.BROKEN);
  }
}
