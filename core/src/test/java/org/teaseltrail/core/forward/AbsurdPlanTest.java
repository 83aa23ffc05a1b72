package org.teaseltrail.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.plan.ClientLimits;
import org.teaseltrail.core.plan.PlanCustomer;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.plan.PlanService;
import org.teaseltrail.core.plan.RouteKind;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.plan.WeightedService;
import org.teaseltrail.core.registry.Registration;

/** Tests that an entry VM serves under a plan, and with registrations, of extreme numbers. */
class AbsurdPlanTest extends ForwardNodeTestBase {

  /** Guards against a plan under which each request ends in an exception: its weights overflow. */
  @Test
  void weightsWhoseSumExceedsAnIntegerAreDrawnFrom() {
    WeightedService whole = new WeightedService(TestPlans.PLAIN, Integer.MAX_VALUE);
    serveWith(planWith(List.of(whole, whole), 4_000, 500), plain(Integer.MAX_VALUE));

    arrive("/any/x");

    assertThat(actions).hasAtLeastOneElementOfType(ForwardAction.Dispatch.class);
  }

  /** Guards against a timeout whose sum with the time overflows, so that each request is late. */
  @Test
  void requestWithEndlessTimesIsServed() {
    WeightedService target = new WeightedService(TestPlans.PLAIN, 1);
    serveWith(planWith(List.of(target), Long.MAX_VALUE, Long.MAX_VALUE), plain(1));

    arrive("/any/x");
    assertThat(actions).hasAtLeastOneElementOfType(ForwardAction.Dispatch.class);

    advanceMs(1_000);
    assertThat(actions).noneMatch(ForwardAction.Refuse.class::isInstance);
  }

  /** Guards against a heartbeat of an old log whose slots keep the leader busy for minutes. */
  @Test
  void slotsOfRegistrationAreBounded() {
    assertThat(plain(Integer.MAX_VALUE).slots()).isEqualTo(Registration.MAX_SLOTS);
    assertThat(plain(-1).slots()).isZero();
  }

  /** Guards against a quota that is no number after the first request. */
  @Test
  void quotaOfCustomerIsFinite() {
    double infinite = Double.POSITIVE_INFINITY;
    PlanCustomer customer =
        new PlanCustomer(
            TestPlans.CUSTOMER, List.of("k"), OptionalInt.empty(), true, -1, infinite, -1);
    assertThat(customer.quotaPerSecond()).isFinite();
    assertThat(customer.quotaBurst()).isZero();
    assertThat(customer.plainTokens()).isZero();
  }

  private static Registration plain(int slots) {
    return upstream("p", TestPlans.PLAIN, slots);
  }

  private static ServingPlan planWith(
      List<WeightedService> targets, long timeoutMs, long objectiveMs) {
    PlanRoute sample = TestPlans.route("any", RouteKind.SAFE, false, TestPlans.PLAIN, 1);
    PlanRoute route =
        new PlanRoute(
            sample.id(),
            sample.host(),
            sample.pathPrefix(),
            sample.kind(),
            sample.resumable(),
            targets,
            timeoutMs,
            objectiveMs,
            0,
            sample.priority(),
            sample.maxAttempts(),
            sample.needsKey());
    return new ServingPlan(
        1,
        List.of(route),
        List.of(new PlanService(TestPlans.PLAIN, 100, false)),
        ClientLimits.DEFAULT,
        List.of(TestPlans.customer(TestPlans.KEY, 0)));
  }
}
