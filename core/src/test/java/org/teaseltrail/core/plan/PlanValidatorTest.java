package org.teaseltrail.core.plan;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.ServiceId;

/** Tests that each kind of inconsistent plan is rejected, and the lookup of routes. */
class PlanValidatorTest {

  private final ServingPlan good = TestPlans.plan(1);

  @Test
  void acceptsConsistentPlan() {
    assertThat(PlanValidator.validate(good)).isEmpty();
  }

  @Test
  void refusesUnknownService() {
    PlanRoute lost = TestPlans.route("lost", RouteKind.SAFE, false, new ServiceId("nowhere"), 1);
    assertThat(PlanValidator.validate(with(lost))).contains(PlanFailure.UNKNOWN_SERVICE);
  }

  @Test
  void refusesRoutesWithSameHostAndPrefix() {
    PlanRoute twin = TestPlans.route("safe", RouteKind.UNSAFE, false, TestPlans.PLAIN, 1);
    assertThat(PlanValidator.validate(with(twin))).contains(PlanFailure.SAME_PLACE);
  }

  @Test
  void refusesRouteWithoutWeight() {
    assertThat(PlanValidator.validate(with(changed(0, 1_000)))).contains(PlanFailure.NO_WEIGHT);
  }

  @Test
  void refusesRouteWithoutTimeout() {
    assertThat(PlanValidator.validate(with(changed(1, 0)))).contains(PlanFailure.NO_TIMEOUT);
  }

  @Test
  void refusesKeyOfTwoCustomers() {
    PlanCustomer other =
        new PlanCustomer(
            new CustomerId("other"), List.of(TestPlans.KEY), OptionalInt.empty(), true, 1, 0, 0);
    ServingPlan shared = TestPlans.plan(1, TestPlans.customer(TestPlans.KEY, 0), other);
    assertThat(PlanValidator.validate(shared)).contains(PlanFailure.SHARED_KEY);
  }

  @Test
  void findsLongestPrefix() {
    PlanRoute deeper =
        new PlanRoute(
            new RouteId("deeper"),
            TestPlans.HOST,
            "/safe/deep/",
            RouteKind.SAFE,
            false,
            List.of(new WeightedService(TestPlans.PLAIN, 1)),
            1,
            1,
            0,
            0,
            1,
            false);
    PlanIndex index = new PlanIndex(with(deeper));
    assertThat(index.route(TestPlans.HOST + ":80", "/safe/deep/x")).contains(deeper);
    assertThat(index.route(TestPlans.HOST, "/safe/x").orElseThrow().id().value()).isEqualTo("safe");
    assertThat(index.route(TestPlans.HOST, "/safer/x")).isEmpty();
    assertThat(index.route("other.example", "/safe/x")).isEmpty();
  }

  private static PlanRoute changed(int weight, long timeoutMs) {
    return new PlanRoute(
        new RouteId("changed"),
        TestPlans.HOST,
        "/changed/",
        RouteKind.SAFE,
        false,
        List.of(new WeightedService(TestPlans.PLAIN, weight)),
        timeoutMs,
        1,
        0,
        0,
        1,
        true);
  }

  private ServingPlan with(PlanRoute added) {
    List<PlanRoute> routes = new ArrayList<>(good.routes());
    routes.add(added);
    return new ServingPlan(1, routes, good.services(), good.limits(), good.customers());
  }
}
