package org.teaseltrail.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.serving.ServingReply;

/** Admits, repeats and ends requests. */
class ForwardNodeTest extends ForwardNodeTestBase {

  /** A VM that has just started knows no routes; it must not say that there is none. */
  @Test
  void withoutPlanNothingIsUnknown() {
    arrive("/safe/x");
    assertThat(refusals()).isEmpty();
    assertThat(dispatches()).isEmpty();
    advanceMs(400);
    assertThat(refusals()).containsExactly(RefusalReason.PLAN_UNCERTAIN);
  }

  /**
   * All VMs lose power and start again. Requests that came half a second before the session were
   * told to come back; most came back too early, or their objective had passed.
   */
  @Test
  void requestsThatComeJustBeforeTheFirstSessionAreServed() {
    arrive("/safe/x");
    advanceMs(300);
    assertThat(refusals()).isEmpty();
    serveWith(TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6));
    assertThat(dispatches()).containsExactly("p1");
  }

  /** A VM thaws; it asks the leader at once, and callers that came meanwhile needn't be refused. */
  @Test
  void requestsAfterSuspensionWaitForTheLeader() {
    serveWith(TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6));
    nowNs += 4_000 * MS;
    arrive("/safe/x");
    nowNs += 20 * MS;
    confirm(1);
    assertThat(dispatches()).containsExactly("p1");
  }

  /** A VM that is cut off for long must let its callers go on to others, while they have time. */
  @Test
  void vmWithoutSessionRefusesCallersSoon() {
    serveWith(TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6));
    nowNs += 4_000 * MS;
    arrive("/safe/x");
    advanceMs(100);
    assertThat(refusals()).containsExactly(RefusalReason.PLAN_UNCERTAIN);
    assertThat(retriesAfterMs()).allMatch(afterMs -> afterMs > 0 && afterMs <= 200);
  }

  @Test
  void refusesByThePlan() {
    serveWith(TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6));
    arrive("/nowhere/x");
    assertThat(refusals()).containsExactly(RefusalReason.NO_ROUTE);
    arrive("/safe/x", Optional.of("forged"));
    assertThat(refusals()).containsExactly(RefusalReason.UNKNOWN_KEY);
    arrive("/safe/x", Optional.empty());
    assertThat(refusals()).containsExactly(RefusalReason.UNKNOWN_KEY);
  }

  /**
   * A VM freezes while a key is revoked, wakes 4 s later and takes the requests that have come
   * meanwhile. The key must not run, and a key that it doesn't know may be new.
   */
  @Test
  void afterFreezeNoKeyRuns() {
    serveWith(TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6));
    nowNs += 4_000 * MS;
    arrive("/safe/x");
    assertThat(dispatches()).isEmpty();
    arrive("/safe/x", Optional.of("maybe-new"));
    assertThat(dispatches()).isEmpty();
    arrive("/nowhere/x");
    assertThat(dispatches()).isEmpty();
    assertThat(node.isReady(nowNs)).isFalse();
    advanceMs(400);
    assertThat(dispatches()).isEmpty();
    assertThat(refusals()).hasSize(3).containsOnly(RefusalReason.PLAN_UNCERTAIN);
  }

  /** A plan that an operator replaced comes once more, over a slow link. */
  @Test
  void neverGoesBackToAnOlderPlan() {
    serveWith(TestPlans.plan(5), upstream("p1", TestPlans.PLAIN, 6));
    node.onControlMessage(new ServingReply.PlanUpdate(TERM, TestPlans.plan(4)), nowNs);
    assertThat(node.plan().orElseThrow().version()).isEqualTo(5);
  }

  @Test
  void repeatsSafeRequestElsewhere() {
    serveWith(
        TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6), upstream("p2", TestPlans.PLAIN, 6));
    long number = arrive("/safe/x");
    List<String> first = dispatches();
    end(number, AttemptOutcome.BROKEN);
    assertThat(dispatches()).hasSize(1).isNotEqualTo(first);
    end(number, AttemptOutcome.BROKEN);
    assertThat(refusals()).containsExactly(RefusalReason.BROKEN);
  }

  /** A doubled quiz submission muddles a record: what may have run is not sent again. */
  @Test
  void sendsUnsafeRequestOnce() {
    serveWith(
        TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6), upstream("p2", TestPlans.PLAIN, 6));
    long number = arrive("/unsafe/x");
    end(number, AttemptOutcome.BROKEN);
    assertThat(dispatches()).isEmpty();
    assertThat(refusals()).containsExactly(RefusalReason.BROKEN);
  }

  /** No connection was made, so nothing was sent: even an unsafe request may go elsewhere. */
  @Test
  void sendsUnsafeRequestElsewhereIfNothingWasSent() {
    serveWith(
        TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6), upstream("p2", TestPlans.PLAIN, 6));
    long number = arrive("/unsafe/x");
    end(number, AttemptOutcome.NOT_CONNECTED);
    assertThat(dispatches()).hasSize(1);
  }

  /** An upstream that refused is told to the caller as "not run", which must be true. */
  @Test
  void refusedRequestHasNotRun() {
    serveWith(TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6));
    long number = arrive("/unsafe/x");
    end(number, AttemptOutcome.REFUSED);
    assertThat(refusals()).containsExactly(RefusalReason.NOT_RUN);
    long safe = arrive("/safe/x");
    end(safe, AttemptOutcome.BROKEN);
    assertThat(refusals()).containsExactly(RefusalReason.BROKEN);
  }

  /** A first attempt may have run and the second was refused: "not run" would be false. */
  @Test
  void refusalAfterBrokenAttemptIsNoPromise() {
    serveWith(
        TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6), upstream("p2", TestPlans.PLAIN, 6));
    long number = arrive("/safe/x");
    end(number, AttemptOutcome.BROKEN);
    end(number, AttemptOutcome.REFUSED);
    assertThat(refusals()).containsExactly(RefusalReason.BROKEN);
  }

  @Test
  void waitsForPlaceInOrderOfRank() {
    serveWith(
        TestPlans.plan(1, TestPlans.customer(TestPlans.KEY, 0), second()),
        upstream("e1", TestPlans.ENGINES, 1));
    long running = arrive("/stream/x");
    final long low = arrive("/stream/x", Optional.of("key-2"));
    assertThatNothingHappensToRequests();
    long high = arrive("/stream/x");
    assertThatNothingHappensToRequests();
    end(running, AttemptOutcome.ANSWERED);
    assertThat(dispatchedRequests()).containsExactly(high);
    end(high, AttemptOutcome.ANSWERED);
    assertThat(dispatchedRequests()).containsExactly(low);
  }

  /** A request that found no place is told so while the caller can still do something else. */
  @Test
  void givesUpWaitingInTime() {
    serveWith(TestPlans.plan(1), upstream("e1", TestPlans.ENGINES, 1));
    arrive("/stream/x");
    arrive("/stream/x");
    nowNs += 1_300 * MS;
    actions = node.tick(nowNs);
    assertThat(refusals()).containsExactly(RefusalReason.WAITED_TOO_LONG);
  }

  @Test
  void answersAtTheRoutesTimeout() {
    serveWith(TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6));
    arrive("/unsafe/x");
    nowNs += 4_000 * MS;
    actions = node.tick(nowNs);
    assertThat(actions).anyMatch(ForwardAction.Cancel.class::isInstance);
    assertThat(refusals()).containsExactly(RefusalReason.TIMED_OUT);
  }

  /**
   * A VM is told to end. A caller's kept connection brings a request 3 s later; it ran, and was cut
   * when the process ended.
   */
  @Test
  void takesNothingShortlyBeforeItsEnd() {
    serveWith(TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6));
    node.end();
    arrive("/safe/x");
    assertThat(refusals()).containsExactly(RefusalReason.ENDING);
  }

  @Test
  void stopsWorkWhenTheCallerLeaves() {
    serveWith(TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6));
    long number = arrive("/safe/x");
    actions = node.onCallerDisconnected(number, nowNs);
    assertThat(actions).containsExactly(new ForwardAction.Cancel(number));
    end(number, AttemptOutcome.BROKEN);
    assertThat(actions).isEmpty();
  }

  @Test
  void refusesOverQuota() {
    serveWith(
        TestPlans.plan(1, TestPlans.customer(TestPlans.KEY, 100)),
        upstream("p1", TestPlans.PLAIN, 100));
    arrive("/safe/x");
    assertThat(refusals()).isEmpty();
    arrive("/safe/x");
    assertThat(refusals()).containsExactly(RefusalReason.OVER_QUOTA);
  }

  /** Thousands of refusals named neither route nor customer, and nobody could tell who was hit. */
  @Test
  void refusalOfRequestThatWaitedNamesRouteAndCustomer() {
    serveWith(TestPlans.plan(1), upstream("e1", TestPlans.ENGINES, 1));
    arrive("/stream/x");
    arrive("/stream/x");
    advanceMs(2_500);
    ForwardAction.Refuse refused =
        actions.stream()
            .filter(ForwardAction.Refuse.class::isInstance)
            .map(ForwardAction.Refuse.class::cast)
            .findFirst()
            .orElseThrow();
    assertThat(refused.route().orElseThrow().id().value()).isEqualTo("stream");
    assertThat(refused.customer()).contains(TestPlans.CUSTOMER);
  }
}
