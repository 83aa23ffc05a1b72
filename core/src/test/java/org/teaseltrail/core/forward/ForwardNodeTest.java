package org.teaseltrail.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.plan.KeyPolicy;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.serving.ServingReply;

/** Tests how requests are admitted, retried and ended. */
class ForwardNodeTest extends ForwardNodeTestBase {

  /** A VM that has just started has no routes yet and must not refuse requests as matching none. */
  @Test
  void withoutPlanNothingIsUnknown() {
    arrive("/safe/x");
    assertThat(refusals()).isEmpty();
    assertThat(dispatches()).isEmpty();
    advanceMs(400);
    assertThat(refusals()).containsExactly(RefusalReason.PLAN_UNCERTAIN);
  }

  /**
   * All VMs are started together after a power loss. Requests that arrived half a second before the
   * session were refused; most callers retried too early, or after their latency objective.
   */
  @Test
  void requestsThatComeJustBeforeTheFirstSessionAreServed() {
    arrive("/safe/x");
    advanceMs(300);
    assertThat(refusals()).isEmpty();
    serveWith(TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6));
    assertThat(dispatches()).containsExactly("p1");
  }

  /**
   * A VM resumes after a suspension and contacts the leader at once, so that callers that arrived
   * meanwhile needn't be refused.
   */
  @Test
  void requestsAfterSuspensionWaitForTheLeader() {
    serveWith(TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6));
    nowNs += 4_000 * MS;
    arrive("/safe/x");
    nowNs += 20 * MS;
    confirm(1);
    assertThat(dispatches()).containsExactly("p1");
  }

  /**
   * A VM that is partitioned for long must refuse its callers while they still have time to try
   * other VMs.
   */
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

  /** Guards against a plan that takes the last customer away and so opens all routes. */
  @Test
  void planWithoutAnyCustomerGivesNobodyAccess() {
    serveWith(
        TestPlans.planWithoutCustomers(1, KeyPolicy.REQUIRED), upstream("p1", TestPlans.PLAIN, 6));
    arrive("/safe/x", Optional.of(TestPlans.KEY));
    assertThat(refusals()).containsExactly(RefusalReason.UNKNOWN_KEY);
    arrive("/safe/x", Optional.empty());
    assertThat(refusals()).containsExactly(RefusalReason.UNKNOWN_KEY);
  }

  /** Guards against a deployment without keys that is closed to its callers. */
  @Test
  void planThatAsksForNoKeysServesEverybody() {
    serveWith(
        TestPlans.planWithoutCustomers(1, KeyPolicy.NONE), upstream("p1", TestPlans.PLAIN, 6));
    arrive("/safe/x", Optional.empty());
    assertThat(dispatches()).hasSize(1);
  }

  /**
   * A VM is suspended while a key is revoked, resumes 4 s later and reads the requests that have
   * arrived meanwhile. Requests with the key must not run, and an unknown key may be a new one.
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

  /** A plan that an operator has replaced is received again over a slow connection. */
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

  /**
   * Running a quiz submission twice corrupts a record: a request that may have run is not sent
   * again.
   */
  @Test
  void sendsUnsafeRequestOnce() {
    serveWith(
        TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6), upstream("p2", TestPlans.PLAIN, 6));
    long number = arrive("/unsafe/x");
    end(number, AttemptOutcome.BROKEN);
    assertThat(dispatches()).isEmpty();
    assertThat(refusals()).containsExactly(RefusalReason.BROKEN);
  }

  /**
   * No connection was established, so nothing was sent: even an unsafe request may be retried
   * elsewhere.
   */
  @Test
  void sendsUnsafeRequestElsewhereIfNothingWasSent() {
    serveWith(
        TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6), upstream("p2", TestPlans.PLAIN, 6));
    long number = arrive("/unsafe/x");
    end(number, AttemptOutcome.NOT_CONNECTED);
    assertThat(dispatches()).hasSize(1);
  }

  /** A rejection by an upstream is reported to the caller as "not run", which must be true. */
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

  /** The first attempt may have run and the second was rejected: "not run" would be false. */
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
        TestPlans.plan(1, TestPlans.customer(TestPlans.KEY, 0), secondCustomer()),
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

  /** A request that found no slot is refused while its caller still has time to try elsewhere. */
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
   * A VM is shutting down, and a request arrives over a keep-alive connection 3 s later. It was run
   * and aborted when the process exited.
   */
  @Test
  void takesNothingShortlyBeforeItsEnd() {
    serveWith(TestPlans.plan(1), upstream("p1", TestPlans.PLAIN, 6));
    node.beginDrain(DrainSchedule.of(8_000), nowNs, nowNs);
    advanceMs(2_500);
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

  /** Refusals that name neither route nor customer don't show who was affected. */
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
