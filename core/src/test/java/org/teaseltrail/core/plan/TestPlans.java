package org.teaseltrail.core.plan;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.ServiceId;

/** Creates plans for tests, with an engine service, a plain service and a route of each kind. */
public final class TestPlans {

  public static final ServiceId ENGINES = new ServiceId("engines");
  public static final ServiceId PLAIN = new ServiceId("plain");
  public static final String HOST = "calls.example";
  public static final String KEY = "key-1";
  public static final CustomerId CUSTOMER = new CustomerId("customer-1");

  private TestPlans() {}

  /** Creates a plan without a quota. */
  public static ServingPlan plan(long version) {
    return plan(version, customer(KEY, 0));
  }

  /** Creates a plan with the given customers. */
  public static ServingPlan plan(long version, PlanCustomer... customers) {
    return new ServingPlan(
        version,
        List.of(
            route("safe", RouteKind.SAFE, false, PLAIN, 2),
            route("unsafe", RouteKind.UNSAFE, false, PLAIN, 1),
            route("resumable", RouteKind.STREAMING, true, ENGINES, 2),
            route("stream", RouteKind.STREAMING, false, ENGINES, 1)),
        List.of(
            new PlanService(ENGINES, 100, true, Optional.of("/health")),
            new PlanService(PLAIN, 100, false, Optional.of("/health"))),
        ClientLimits.DEFAULT,
        List.of(customers));
  }

  /** Creates a plan that names no customer. */
  public static ServingPlan planWithoutCustomers(long version, KeyPolicy keyPolicy) {
    ServingPlan plan = plan(version, new PlanCustomer[0]);
    return new ServingPlan(
        version,
        plan.routes(),
        plan.services(),
        plan.limits(),
        plan.customers(),
        Optional.of(keyPolicy));
  }

  /** Creates a customer with a quota in tokens per second, 0 for none. */
  public static PlanCustomer customer(String key, double tokensPerSecond) {
    return new PlanCustomer(
        CUSTOMER, List.of(key), OptionalInt.of(1), true, 200, tokensPerSecond, tokensPerSecond);
  }

  /** Creates a route whose path prefix is its name. */
  public static PlanRoute route(
      String name, RouteKind kind, boolean resumable, ServiceId service, int maxAttempts) {
    return new PlanRoute(
        new RouteId(name),
        HOST,
        "/" + name + "/",
        kind,
        resumable,
        List.of(new WeightedService(service, 1)),
        4_000,
        500,
        0,
        1,
        maxAttempts,
        true);
  }
}
