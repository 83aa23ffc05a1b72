package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.plan.PlanCustomer;
import org.teaseltrail.core.plan.PlanIndex;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.plan.WeightedService;

/**
 * Lets requests in that the plan allows. One that can't be judged yet, as this VM has no plan or
 * may not take its plan for the newest, waits for that a short while.
 *
 * <p>Guards against callers that are turned away by a VM which is about to serve: all of them come
 * within the second after a start, are told to come back, and most try again too early or not at
 * all. A request that waits is answered on time if the session comes within its objective.
 */
final class AdmissionController {

  /**
   * Part of a route's objective that a request waits for the first session; the rest is for the
   * upstream's answer. All VMs may have been started together, so that no other serves sooner.
   */
  private static final double FIRST_SESSION_PART = 0.8;

  /**
   * The same for a session that was lost: enough for a VM that was frozen to ask the leader. A VM
   * that is cut off keeps no caller longer, since others may serve it on time.
   */
  private static final double LOST_SESSION_PART = 0.2;

  /**
   * The same where the route isn't known for want of a plan, in milliseconds: most of the users'
   * objectives for streams (400 to 1,200), so that these can still be on time.
   */
  private static final long UNKNOWN_ROUTE_WAIT_MS = 400;

  /** Part of a caller's deadline that it waits at most, so that another VM may still serve it. */
  private static final double DEADLINE_PART = 0.3;

  /** Requests that wait at most: with bodies of 8 KB, a sixteenth of the VM's memory. */
  private static final int MOST_WAITING = 500;

  /** Time from a process's start to its session: 0.7 to 1.0 s, seen after losses of power. */
  private static final long USUAL_START_MS = 1_000;

  /**
   * When a caller may come back that met a VM without a session, in milliseconds. Its next try goes
   * to another VM, and with what it has waited here it can be answered within half a second.
   */
  private static final long LEAST_RETRY_MS = 200;

  private static final long NS_PER_MS = 1_000_000L;

  private record Waiting(ForwardRequest request, long arrivedNs, long untilNs) {}

  private final RandomGenerator random;
  private final ControlClient ties;
  private final QuotaAdmissionFilter quotaGate;
  private final Consumer<ForwardAction> out;
  private final Map<Long, Waiting> waiting = new LinkedHashMap<>();
  private Optional<PlanIndex> plan = Optional.empty();
  private OptionalLong startedNs = OptionalLong.empty();
  private boolean hadSession;

  AdmissionController(
      RandomGenerator random,
      ControlClient ties,
      QuotaAdmissionFilter quotaGate,
      Consumer<ForwardAction> out) {
    this.random = random;
    this.ties = ties;
    this.quotaGate = quotaGate;
    this.out = out;
  }

  /** Takes a plan as the one in force. */
  void configure(PlanIndex newer) {
    plan = Optional.of(newer);
  }

  /** Returns the plan in force, if one has come. */
  Optional<PlanIndex> plan() {
    return plan;
  }

  /** Takes a request that was read whole. */
  void onRequest(ForwardRequest request, long nowNs) {
    if (!decide(request, nowNs, nowNs)) {
      waitOrRefuse(request, nowNs);
    }
  }

  /** Looks again at what waits, after a plan has come or the session was confirmed. */
  void retryWaiting(long nowNs) {
    if (!isCertain(nowNs)) {
      return;
    }
    hadSession = true;
    List<Waiting> all = new ArrayList<>(waiting.values());
    waiting.clear();
    for (Waiting each : all) {
      if (!decide(each.request(), each.arrivedNs(), nowNs)) {
        waiting.put(each.request().number(), each);
      }
    }
  }

  /** Refuses what has waited long enough. */
  void tick(long nowNs) {
    startedNs = OptionalLong.of(startedNs.orElse(nowNs));
    List<Waiting> overdue =
        waiting.values().stream().filter(each -> nowNs >= each.untilNs()).toList();
    for (Waiting each : overdue) {
      waiting.remove(each.request().number());
      refuse(each.request(), RefusalReason.PLAN_UNCERTAIN, retryAfterMs(nowNs));
    }
  }

  OptionalLong nextDueNs() {
    return waiting.values().stream().mapToLong(Waiting::untilNs).min();
  }

  void onCallerDisconnected(long number) {
    waiting.remove(number);
  }

  /** Returns how many requests wait to be judged. */
  int waiting() {
    return waiting.size();
  }

  /** Admits or refuses a request by the plan; returns false if it can't be judged now. */
  private boolean decide(ForwardRequest request, long arrivedNs, long nowNs) {
    boolean certain = isCertain(nowNs);
    Optional<PlanRoute> route = route(request);
    if (route.isEmpty()) {
      return certain && refuse(request, RefusalReason.NO_ROUTE, 0);
    }
    boolean keyed = route.get().needsKey() && plan.orElseThrow().hasCustomers();
    if (!keyed) {
      admit(request, route.get(), Optional.empty(), arrivedNs, nowNs);
      return true;
    }
    Optional<PlanCustomer> customer = request.key().flatMap(plan.orElseThrow()::customer);
    if (!certain) {
      return false;
    }
    if (customer.isEmpty()) {
      return refuse(request, RefusalReason.UNKNOWN_KEY, 0);
    }
    admit(request, route.get(), customer, arrivedNs, nowNs);
    return true;
  }

  private boolean isCertain(long nowNs) {
    return plan.isPresent() && ties.session().isValid(nowNs);
  }

  private Optional<PlanRoute> route(ForwardRequest request) {
    return plan.flatMap(held -> held.route(request.host(), request.path()));
  }

  private void admit(
      ForwardRequest request,
      PlanRoute route,
      Optional<PlanCustomer> customer,
      long arrivedNs,
      long nowNs) {
    ActiveRequest admitted =
        new ActiveRequest(request, route, drawService(route), customer, arrivedNs);
    quotaGate.onRequest(admitted, nowNs);
  }

  private ServiceId drawService(PlanRoute route) {
    int total = route.targets().stream().mapToInt(WeightedService::weight).sum();
    int drawn = random.nextInt(total);
    for (WeightedService target : route.targets()) {
      drawn -= target.weight();
      if (drawn < 0) {
        return target.service();
      }
    }
    throw new IllegalStateException("weights of " + route.id());
  }

  private void waitOrRefuse(ForwardRequest request, long nowNs) {
    if (waiting.size() >= MOST_WAITING) {
      refuse(request, RefusalReason.PLAN_UNCERTAIN, retryAfterMs(nowNs));
      return;
    }
    long untilNs = nowNs + longestWaitMs(request) * NS_PER_MS;
    waiting.put(request.number(), new Waiting(request, nowNs, untilNs));
    ties.syncSoon();
  }

  private long longestWaitMs(ForwardRequest request) {
    double part = hadSession ? LOST_SESSION_PART : FIRST_SESSION_PART;
    double usefulMs =
        route(request)
            .map(known -> known.objectiveMs() * part)
            .orElse((double) UNKNOWN_ROUTE_WAIT_MS);
    double allowedMs = request.deadlineMs().orElse(Long.MAX_VALUE) * DEADLINE_PART;
    return (long) Math.min(usefulMs, allowedMs);
  }

  /** Returns when a session is to be expected, in milliseconds from now. */
  private long retryAfterMs(long nowNs) {
    long runsMs = (nowNs - startedNs.orElse(nowNs)) / NS_PER_MS;
    long leftMs = hadSession ? 0 : USUAL_START_MS - runsMs;
    return Math.max(LEAST_RETRY_MS, leftMs);
  }

  private boolean refuse(ForwardRequest request, RefusalReason refusal, long retryAfterMs) {
    out.accept(ForwardAction.Refuse.beforeRouting(request.number(), refusal, retryAfterMs));
    return true;
  }
}
