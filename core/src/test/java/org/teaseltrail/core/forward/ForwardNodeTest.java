package org.teaseltrail.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.PlanCustomer;
import org.teaseltrail.core.plan.Plans;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.quota.QuotaBounds;
import org.teaseltrail.core.quota.QuotaGrant;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.serving.Urgency;
import org.teaseltrail.core.upstream.SocketAddress;

/** Admits, places, repeats and ends requests. */
class ForwardNodeTest {

  private static final long MS = 1_000_000L;
  private static final VmId MEMBER = new VmId("10.0.0.9:7600");
  private static final FencingNumber TERM = new FencingNumber(1);

  private final ForwardNode node =
      new ForwardNode(
          new ForwardSettings(
              new VmId("entry-1"),
              new Incarnation(1),
              List.of(MEMBER),
              3_000,
              250,
              0.2,
              10_000,
              50,
              QuotaBounds.DEFAULT,
              1));

  private List<ServiceId> contended = List.of();
  private long nowNs = MS;
  private long lastNumber;
  private long lastSequence;
  private List<ForwardAction> actions = new ArrayList<>();

  @BeforeEach
  void begin() {
    node.begin();
  }

  private static Registration upstream(String id, ServiceId service, int slots) {
    return new Registration(
        new UpstreamId(id),
        service,
        new SocketAddress("10.0.0.1", 80),
        new DataCenterId("a"),
        slots,
        RegistrationPhase.READY,
        1);
  }

  private void serveWith(ServingPlan plan, Registration... present) {
    node.fromControl(new ServingReply.PlanUpdate(TERM, plan), nowNs);
    node.fromControl(new ServingReply.RegistryUpdate(TERM, 1, List.of(present)), nowNs);
    confirm(plan.version());
  }

  private static List<QuotaGrant> grantOfAll() {
    return List.of(new QuotaGrant(Plans.CUSTOMER, 1e9, 0, 0, 0, 0));
  }

  private void confirm(long version) {
    for (ForwardAction action : node.tick(nowNs)) {
      if (action instanceof ForwardAction.SendControl send) {
        lastSequence = ((ServingMessage.Sync) send.message()).sequence();
      }
    }
    node.fromControl(
        new ServingReply.Confirmed(
            TERM, lastSequence, version, 1, 1, List.of(MEMBER), Map.of(), contended, grantOfAll()),
        nowNs);
  }

  private long arrive(String path, Optional<String> key) {
    return arrive(path, key, 1_000);
  }

  private long arrive(String path, Optional<String> key, int promptTokens) {
    lastNumber++;
    actions =
        node.arrived(
            new ForwardRequest(
                lastNumber,
                "id-" + lastNumber,
                Plans.HOST,
                path,
                key,
                OptionalLong.of(4_000),
                OptionalInt.of(promptTokens),
                OptionalInt.of(100),
                List.of(new PromptPart("abc", promptTokens))),
            nowNs);
    return lastNumber;
  }

  private long arrive(String path) {
    return arrive(path, Optional.of(Plans.KEY));
  }

  private long arriveWithPrompt(int promptTokens) {
    return arrive("/stream/x", Optional.of(Plans.KEY), promptTokens);
  }

  private void end(long number, AttemptEnd end) {
    actions = node.attemptEnded(number, end, nowNs);
  }

  private void assertThatNothingHappensToRequests() {
    assertThat(actions).allMatch(ForwardAction.SendControl.class::isInstance);
  }

  private List<Refusal> refusals() {
    return actions.stream()
        .filter(ForwardAction.Refuse.class::isInstance)
        .map(action -> ((ForwardAction.Refuse) action).refusal())
        .toList();
  }

  private List<String> dispatches() {
    return actions.stream()
        .filter(ForwardAction.Dispatch.class::isInstance)
        .map(action -> ((ForwardAction.Dispatch) action).upstream().id().value())
        .toList();
  }

  /** A VM that has just started knows no routes; it must not say that there is none. */
  @Test
  void withoutPlanNothingIsUnknown() {
    arrive("/safe/x");
    assertThat(refusals()).containsExactly(Refusal.PLAN_UNCERTAIN);
  }

  @Test
  void refusesByThePlan() {
    serveWith(Plans.plan(1), upstream("p1", Plans.PLAIN, 6));
    arrive("/nowhere/x");
    assertThat(refusals()).containsExactly(Refusal.NO_ROUTE);
    arrive("/safe/x", Optional.of("forged"));
    assertThat(refusals()).containsExactly(Refusal.UNKNOWN_KEY);
    arrive("/safe/x", Optional.empty());
    assertThat(refusals()).containsExactly(Refusal.UNKNOWN_KEY);
  }

  /**
   * A VM freezes while a key is revoked, wakes 4 s later and takes the requests that have come
   * meanwhile. The key must not run, and a key that it doesn't know may be new.
   */
  @Test
  void afterFreezeNoKeyRuns() {
    serveWith(Plans.plan(1), upstream("p1", Plans.PLAIN, 6));
    nowNs += 4_000 * MS;
    arrive("/safe/x");
    assertThat(refusals()).containsExactly(Refusal.PLAN_UNCERTAIN);
    arrive("/safe/x", Optional.of("maybe-new"));
    assertThat(refusals()).containsExactly(Refusal.PLAN_UNCERTAIN);
    arrive("/nowhere/x");
    assertThat(refusals()).containsExactly(Refusal.PLAN_UNCERTAIN);
    assertThat(node.isReady(nowNs)).isFalse();
  }

  /** A plan that an operator replaced comes once more, over a slow link. */
  @Test
  void neverGoesBackToAnOlderPlan() {
    serveWith(Plans.plan(5), upstream("p1", Plans.PLAIN, 6));
    node.fromControl(new ServingReply.PlanUpdate(TERM, Plans.plan(4)), nowNs);
    assertThat(node.plan().orElseThrow().version()).isEqualTo(5);
  }

  @Test
  void repeatsSafeRequestElsewhere() {
    serveWith(Plans.plan(1), upstream("p1", Plans.PLAIN, 6), upstream("p2", Plans.PLAIN, 6));
    long number = arrive("/safe/x");
    List<String> first = dispatches();
    end(number, AttemptEnd.BROKEN);
    assertThat(dispatches()).hasSize(1).isNotEqualTo(first);
    end(number, AttemptEnd.BROKEN);
    assertThat(refusals()).containsExactly(Refusal.BROKEN);
  }

  /** A doubled quiz submission muddles a record: what may have run is not sent again. */
  @Test
  void sendsUnsafeRequestOnce() {
    serveWith(Plans.plan(1), upstream("p1", Plans.PLAIN, 6), upstream("p2", Plans.PLAIN, 6));
    long number = arrive("/unsafe/x");
    end(number, AttemptEnd.BROKEN);
    assertThat(dispatches()).isEmpty();
    assertThat(refusals()).containsExactly(Refusal.BROKEN);
  }

  /** No connection was made, so nothing was sent: even an unsafe request may go elsewhere. */
  @Test
  void sendsUnsafeRequestElsewhereIfNothingWasSent() {
    serveWith(Plans.plan(1), upstream("p1", Plans.PLAIN, 6), upstream("p2", Plans.PLAIN, 6));
    long number = arrive("/unsafe/x");
    end(number, AttemptEnd.NOT_CONNECTED);
    assertThat(dispatches()).hasSize(1);
  }

  /** An upstream that refused is told to the caller as "not run", which must be true. */
  @Test
  void refusedRequestHasNotRun() {
    serveWith(Plans.plan(1), upstream("p1", Plans.PLAIN, 6));
    long number = arrive("/unsafe/x");
    end(number, AttemptEnd.REFUSED);
    assertThat(refusals()).containsExactly(Refusal.NOT_RUN);
    long safe = arrive("/safe/x");
    end(safe, AttemptEnd.BROKEN);
    assertThat(refusals()).containsExactly(Refusal.BROKEN);
  }

  /** A first attempt may have run and the second was refused: "not run" would be false. */
  @Test
  void refusalAfterBrokenAttemptIsNoPromise() {
    serveWith(Plans.plan(1), upstream("p1", Plans.PLAIN, 6), upstream("p2", Plans.PLAIN, 6));
    long number = arrive("/safe/x");
    end(number, AttemptEnd.BROKEN);
    end(number, AttemptEnd.REFUSED);
    assertThat(refusals()).containsExactly(Refusal.BROKEN);
  }

  @Test
  void waitsForPlaceInOrderOfRank() {
    serveWith(
        Plans.plan(1, Plans.customer(Plans.KEY, 0), second()), upstream("e1", Plans.ENGINES, 1));
    long running = arrive("/stream/x");
    final long low = arrive("/stream/x", Optional.of("key-2"));
    assertThatNothingHappensToRequests();
    long high = arrive("/stream/x");
    assertThatNothingHappensToRequests();
    end(running, AttemptEnd.ANSWERED);
    assertThat(dispatchedRequests()).containsExactly(high);
    end(high, AttemptEnd.ANSWERED);
    assertThat(dispatchedRequests()).containsExactly(low);
  }

  /** A request that found no place is told so while the caller can still do something else. */
  @Test
  void givesUpWaitingInTime() {
    serveWith(Plans.plan(1), upstream("e1", Plans.ENGINES, 1));
    arrive("/stream/x");
    arrive("/stream/x");
    nowNs += 1_300 * MS;
    actions = node.tick(nowNs);
    assertThat(refusals()).containsExactly(Refusal.WAITED_TOO_LONG);
  }

  @Test
  void answersAtTheRoutesTimeout() {
    serveWith(Plans.plan(1), upstream("p1", Plans.PLAIN, 6));
    arrive("/unsafe/x");
    nowNs += 4_000 * MS;
    actions = node.tick(nowNs);
    assertThat(actions).anyMatch(ForwardAction.Cancel.class::isInstance);
    assertThat(refusals()).containsExactly(Refusal.TIMED_OUT);
  }

  /**
   * A VM is told to end. A caller's kept connection brings a request 3 s later; it ran, and was cut
   * when the process ended.
   */
  @Test
  void takesNothingShortlyBeforeItsEnd() {
    serveWith(Plans.plan(1), upstream("p1", Plans.PLAIN, 6));
    node.end();
    arrive("/safe/x");
    assertThat(refusals()).containsExactly(Refusal.ENDING);
  }

  @Test
  void stopsWorkWhenTheCallerLeaves() {
    serveWith(Plans.plan(1), upstream("p1", Plans.PLAIN, 6));
    long number = arrive("/safe/x");
    actions = node.callerLeft(number, nowNs);
    assertThat(actions).containsExactly(new ForwardAction.Cancel(number));
    end(number, AttemptEnd.BROKEN);
    assertThat(actions).isEmpty();
  }

  /** An upstream acknowledged as leaving must get nothing more, waiting requests included. */
  @Test
  void sendsNothingToDrainingUpstream() {
    Registration ready = upstream("e1", Plans.ENGINES, 1);
    serveWith(Plans.plan(1), ready);
    long running = arrive("/stream/x");
    arrive("/stream/x");
    node.fromControl(
        new ServingReply.RegistryUpdate(TERM, 2, List.of(ready.in(RegistrationPhase.DRAINING))),
        nowNs);
    end(running, AttemptEnd.ANSWERED);
    assertThat(dispatches()).isEmpty();
  }

  @Test
  void refusesOverQuota() {
    serveWith(Plans.plan(1, Plans.customer(Plans.KEY, 100)), upstream("p1", Plans.PLAIN, 100));
    arrive("/safe/x");
    assertThat(refusals()).isEmpty();
    arrive("/safe/x");
    assertThat(refusals()).containsExactly(Refusal.OVER_QUOTA);
  }

  /**
   * All of an upstream's answers fail for a while. It recovers, and yet gets nothing for the rest
   * of the day while the other one is full: nothing ever showed that it works again.
   */
  @Test
  void triesUpstreamAgainThatHadFailed() {
    Registration failing = upstream("e1", Plans.ENGINES, 8);
    serveWith(Plans.plan(1), failing);
    for (int i = 0; i < 60; i++) {
      long number = arrive("/stream/x");
      nowNs += 10 * MS;
      end(number, AttemptEnd.FAILED_ANSWER);
    }
    Registration other = upstream("e2", Plans.ENGINES, 8);
    node.fromControl(new ServingReply.RegistryUpdate(TERM, 2, List.of(failing, other)), nowNs);
    nowNs += 10_000 * MS;
    confirm(1);
    List<String> placed = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      arrive("/stream/x");
      placed.addAll(dispatches());
    }
    assertThat(placed).contains("e1", "e2");
  }

  /**
   * A leader is lost while an upstream was full of the others' requests. Nothing goes there any
   * longer, though its work has long ended: the count stands until the next leader.
   */
  @Test
  void oldCountsOfOthersFade() {
    serveWith(Plans.plan(1), upstream("e1", Plans.ENGINES, 4));
    node.loadTold(new UpstreamId("e1"), 4, nowNs);
    arrive("/stream/x");
    assertThat(dispatches()).isEmpty();
    nowNs += 900 * MS;
    actions = node.tick(nowNs);
    assertThat(dispatches()).hasSize(1);
  }

  private List<Long> dispatchedRequests() {
    return actions.stream()
        .filter(ForwardAction.Dispatch.class::isInstance)
        .map(action -> ((ForwardAction.Dispatch) action).request())
        .toList();
  }

  private static PlanCustomer second() {
    return new PlanCustomer(
        new CustomerId("customer-2"), List.of("key-2"), OptionalInt.of(2), true, 200, 0, 0);
  }

  /**
   * Half of the streams of a slow upstream pause longer than callers accept: while it reads a long
   * prompt, chunk by chunk, each chunk holds up every stream there.
   */
  @Test
  void sendsLongPromptsToQuickUpstreams() {
    Registration slow = upstream("e1", Plans.ENGINES, 8);
    Registration quick = upstream("e2", Plans.ENGINES, 8);
    serveWith(Plans.plan(1), slow, quick);
    node.pace(slow.id(), 90, nowNs);
    node.pace(quick.id(), 30, nowNs);
    for (int i = 0; i < 8; i++) {
      arriveWithPrompt(10_000);
      assertThat(dispatches()).containsExactly(quick.id().value());
    }
    arriveWithPrompt(10_000);
    assertThat(dispatches()).isEmpty();
    arriveWithPrompt(100);
    assertThat(dispatches()).containsExactly(slow.id().value());
  }

  /** Two prompts at once hold up all streams of a slow upstream longer than callers accept. */
  @Test
  void sendsSlowUpstreamOnePromptAfterTheOther() {
    Registration slow = upstream("e1", Plans.ENGINES, 8);
    Registration quick = upstream("e2", Plans.ENGINES, 1);
    serveWith(Plans.plan(1), slow, quick);
    node.pace(slow.id(), 90, nowNs);
    node.pace(quick.id(), 30, nowNs);
    arriveWithPrompt(10_000);
    final long first = arriveWithPrompt(100);
    assertThat(dispatches()).containsExactly(slow.id().value());
    arriveWithPrompt(100);
    assertThat(dispatches()).isEmpty();
    actions = node.begun(first, nowNs);
    assertThat(dispatches()).containsExactly(slow.id().value());
  }

  /**
   * Requests wait at several VMs. Whichever VM's request ended took the free place, though
   * something more urgent waited at another one.
   */
  @Test
  void waitsForTheLeadersGrantWhileOthersWait() {
    contended = List.of(Plans.ENGINES);
    Registration engine = upstream("e1", Plans.ENGINES, 8);
    serveWith(Plans.plan(1), engine);
    arrive("/stream/x");
    assertThat(dispatches()).isEmpty();
    assertThat(toldWaiting()).isEqualTo(1);
    grant(engine);
    assertThat(dispatches()).containsExactly("e1");
    assertThat(toldWaiting()).isZero();
  }

  /** The leader is lost while requests wait for its grants; they must not wait on. */
  @Test
  void placesByItselfOnceTheLeaderIsSilent() {
    contended = List.of(Plans.ENGINES);
    serveWith(Plans.plan(1), upstream("e1", Plans.ENGINES, 8));
    arrive("/stream/x");
    nowNs += 200 * MS;
    actions = node.tick(nowNs);
    assertThat(dispatches()).isEmpty();
    nowNs += 101 * MS;
    actions = node.tick(nowNs);
    assertThat(dispatches()).containsExactly("e1");
  }

  @Test
  void tellsOfGrantThatNothingCanUse() {
    contended = List.of(Plans.ENGINES);
    Registration leaving = upstream("e1", Plans.ENGINES, 8).in(RegistrationPhase.DRAINING);
    serveWith(Plans.plan(1), leaving);
    arrive("/stream/x");
    grant(leaving);
    assertThat(dispatches()).isEmpty();
    ServingMessage.Lines told = told();
    assertThat(told.grantsSeen()).isEqualTo(1);
    assertThat(told.lines().get(0).unwanted()).containsExactly(leaving.id());
  }

  private void grant(Registration upstream) {
    ServingReply.SlotGrant grant =
        new ServingReply.SlotGrant(
            TERM, 1, upstream.service(), upstream.id(), new Urgency(1, false, 1));
    actions = node.fromControl(grant, nowNs);
  }

  private ServingMessage.Lines told() {
    return actions.stream()
        .filter(ForwardAction.SendControl.class::isInstance)
        .map(action -> ((ForwardAction.SendControl) action).message())
        .filter(ServingMessage.Lines.class::isInstance)
        .map(ServingMessage.Lines.class::cast)
        .findFirst()
        .orElseThrow();
  }

  private int toldWaiting() {
    return told().lines().stream()
        .flatMap(line -> line.waiting().stream())
        .mapToInt(waiting -> waiting.waitedMs().size())
        .sum();
  }
}
