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
import org.teaseltrail.core.plan.RouteKind;
import org.teaseltrail.core.plan.WeightedService;
import org.teaseltrail.core.relay.RelayHop;
import org.teaseltrail.core.stream.StreamOrigin;

/**
 * Matches requests with the plan's routes and customer keys, and refuses those that the plan
 * doesn't allow. A request that can't be decided yet, because this VM has no plan or can't be sure
 * that its plan is the newest, waits for a limited time.
 *
 * <p>Requests wait because a VM that has just started serves within about a second: callers that
 * were refused in that time mostly retried too early or not at all. A request that waits is
 * answered on time if the session is established within its latency objective.
 */
final class AdmissionController {

  /**
   * Fraction of a route's latency objective that a request waits for the VM's first session; the
   * rest is left for the upstream's response. It is large because all VMs may have been started
   * together, so that no other VM can serve sooner.
   */
  private static final double FIRST_SESSION_FRACTION = 0.8;

  /**
   * The same fraction after a session was lost: long enough for a VM that resumes after a
   * suspension to reach the leader. It is short because other VMs may serve the request on time
   * while this one is partitioned.
   */
  private static final double LOST_SESSION_FRACTION = 0.2;

  /**
   * Wait time for a request whose route is unknown because there is no plan, in milliseconds.
   * Objectives of streams range from 400 to 1,200 ms, so that most of these requests can still be
   * answered on time.
   */
  private static final long UNKNOWN_ROUTE_WAIT_MS = 400;

  /**
   * Maximum fraction of the caller's deadline that a request waits, so that another VM can still
   * serve it.
   */
  private static final double DEADLINE_FRACTION = 0.3;

  /**
   * Maximum number of waiting requests: with bodies of 8 KB they take a sixteenth of the VM's
   * memory.
   */
  private static final int MAX_WAITING = 500;

  /** Usual time from process start to the first session: 0.7 to 1.0 s after a power loss. */
  private static final long TYPICAL_START_MS = 1_000;

  /**
   * Minimum retry-after of a VM without a session, in milliseconds. The caller's next attempt goes
   * to another VM and, including the time waited here, can be answered within half a second.
   */
  private static final long MIN_RETRY_AFTER_MS = 200;

  /**
   * Retry-after for a stream that can't be resumed, in milliseconds: the time within which a new
   * leader is elected, who may be able to tell its origin.
   */
  private static final long UNKNOWN_ORIGIN_RETRY_MS = 1_000;

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * A request as it arrived.
   *
   * @param request the request
   * @param hop what the peer that relayed it has told, if one did
   * @param mayRelay whether it may be relayed to a peer
   * @param arrivedNs when its first VM had read it
   * @param origin what began the stream that it resumes, if it resumes one and that is known
   * @param awaitedNews whether it has waited for an upstream of its version to be registered
   */
  private record Arrival(
      ForwardRequest request,
      Optional<RelayHop> hop,
      boolean mayRelay,
      long arrivedNs,
      Optional<StreamOrigin> origin,
      boolean awaitedNews) {

    private Arrival withOrigin(StreamOrigin known) {
      return new Arrival(request, hop, mayRelay, arrivedNs, Optional.of(known), awaitedNews);
    }

    private Arrival withNews() {
      return new Arrival(request, hop, mayRelay, arrivedNs, origin, true);
    }

    private boolean needsOrigin(PlanRoute route) {
      return origin.isEmpty()
          && request.resumption().isPresent()
          && route.kind() == RouteKind.STREAMING;
    }
  }

  private record Waiting(Arrival arrival, long expiryNs) {}

  private final RandomGenerator random;
  private final ControlClient controlClient;
  private final QuotaAdmissionFilter quotaFilter;
  private final UpstreamPaths paths;
  private final RelayCoordinator relays;
  private final StreamOriginClient origins;
  private final RegistryNewsQueue registryNews;
  private final Consumer<ForwardAction> actions;
  private final Map<Long, Waiting> waiting = new LinkedHashMap<>();
  private Optional<PlanIndex> plan = Optional.empty();
  private OptionalLong startedNs = OptionalLong.empty();
  private boolean hadSession;

  AdmissionController(
      RandomGenerator random,
      ControlClient controlClient,
      QuotaAdmissionFilter quotaFilter,
      UpstreamPaths paths,
      RelayCoordinator relays,
      StreamOriginClient origins,
      RegistryNewsQueue registryNews,
      Consumer<ForwardAction> actions) {
    this.random = random;
    this.controlClient = controlClient;
    this.quotaFilter = quotaFilter;
    this.paths = paths;
    this.relays = relays;
    relays.setFallback(this::serveHere);
    this.origins = origins;
    this.registryNews = registryNews;
    this.actions = actions;
  }

  /** Replaces the plan. */
  void configure(PlanIndex newer) {
    plan = Optional.of(newer);
  }

  /** Returns the current plan, empty until one has been received. */
  Optional<PlanIndex> plan() {
    return plan;
  }

  /** Handles a request that has been read completely. */
  void onRequest(ForwardRequest request, long nowNs) {
    handle(new Arrival(request, Optional.empty(), true, nowNs, Optional.empty(), false), nowNs);
  }

  /** Handles a request that a peer has relayed to this VM. */
  void onRelayedRequest(ForwardRequest request, RelayHop hop, long nowNs) {
    long arrivedNs = nowNs - hop.elapsedMs() * NS_PER_MS;
    handle(new Arrival(request, Optional.of(hop), false, arrivedNs, hop.origin(), false), nowNs);
  }

  private void handle(Arrival arrival, long nowNs) {
    if (!decide(arrival, nowNs)) {
      waitOrRefuse(arrival, nowNs);
    }
  }

  /**
   * Decides about the waiting requests again, after a plan was received or the session was
   * confirmed.
   */
  void retryWaiting(long nowNs) {
    if (!isPlanConfirmed(nowNs)) {
      return;
    }
    hadSession = true;
    List<Waiting> entries = new ArrayList<>(waiting.values());
    waiting.clear();
    for (Waiting entry : entries) {
      if (!decide(entry.arrival(), nowNs)) {
        waiting.put(entry.arrival().request().number(), entry);
      }
    }
  }

  /** Refuses requests that have waited for their maximum time. */
  void tick(long nowNs) {
    startedNs = OptionalLong.of(startedNs.orElse(nowNs));
    List<Waiting> overdue =
        waiting.values().stream().filter(entry -> nowNs >= entry.expiryNs()).toList();
    for (Waiting entry : overdue) {
      ForwardRequest request = entry.arrival().request();
      waiting.remove(request.number());
      refuse(request, RefusalReason.PLAN_UNCERTAIN, retryAfterMs(nowNs));
    }
  }

  OptionalLong nextDueNs() {
    return waiting.values().stream().mapToLong(Waiting::expiryNs).min();
  }

  /** Gives up all waiting requests, because this VM stops. */
  void giveUp() {
    for (long number : List.copyOf(waiting.keySet())) {
      waiting.remove(number);
      actions.accept(
          ForwardAction.Refuse.beforeRouting(
                  number, RefusalReason.ENDING, DrainSchedule.RETRY_AFTER_MS)
              .at(RequestStage.WAITING_FOR_PLAN));
    }
  }

  void onCallerDisconnected(long number) {
    waiting.remove(number);
  }

  /** Returns the number of requests that wait for a decision. */
  int waiting() {
    return waiting.size();
  }

  /**
   * Admits or refuses a request according to the plan; returns false if that can't be decided yet.
   */
  private boolean decide(Arrival arrival, long nowNs) {
    ForwardRequest request = arrival.request();
    boolean planConfirmed = isPlanConfirmed(nowNs);
    Optional<PlanRoute> route = route(request);
    if (route.isEmpty()) {
      return planConfirmed && refuse(request, RefusalReason.NO_ROUTE, 0);
    }
    if (arrival.mayRelay() && relayIfUnreachable(arrival, route.get(), nowNs)) {
      return true;
    }
    boolean needsCustomer = route.get().needsKey() && plan.orElseThrow().plan().requiresKeys();
    if (!needsCustomer) {
      admit(arrival, route.get(), Optional.empty(), nowNs);
      return true;
    }
    Optional<PlanCustomer> customer = request.key().flatMap(plan.orElseThrow()::customer);
    if (!planConfirmed) {
      return false;
    }
    if (customer.isEmpty()) {
      return refuse(request, RefusalReason.UNKNOWN_KEY, 0);
    }
    admit(arrival, route.get(), customer, nowNs);
    return true;
  }

  /**
   * Relays a request whose service this VM can't reach. The peer decides about its key and its
   * quota, so that this VM needs no session for it.
   */
  private boolean relayIfUnreachable(Arrival arrival, PlanRoute route, long nowNs) {
    if (!paths.hasLost()) {
      return false;
    }
    return route.targets().stream()
        .map(WeightedService::service)
        .filter(paths::isLost)
        .findFirst()
        .map(
            service ->
                RelayedRequest.ofArrival(arrival.request(), route, service, arrival.arrivedNs()))
        .map(relayed -> relays.tryStart(relayed, nowNs))
        .orElse(false);
  }

  /** Serves a request at this VM after no peer could take it. */
  private void serveHere(RelayedRequest relayed, long nowNs) {
    handle(
        new Arrival(
            relayed.request(),
            Optional.empty(),
            false,
            relayed.arrivedNs(),
            relayed.origin(),
            false),
        nowNs);
  }

  private boolean isPlanConfirmed(long nowNs) {
    return plan.isPresent() && controlClient.session().isValid(nowNs);
  }

  private Optional<PlanRoute> route(ForwardRequest request) {
    return plan.flatMap(held -> held.route(request.host(), request.path()));
  }

  private void admit(
      Arrival arrival, PlanRoute route, Optional<PlanCustomer> customer, long nowNs) {
    if (arrival.needsOrigin(route)) {
      origins.resolve(
          arrival.request(),
          route,
          customer.map(PlanCustomer::id),
          (origin, atNs) -> onOrigin(arrival, origin, atNs),
          nowNs);
      return;
    }
    Optional<ServiceId> service = selectService(route, arrival.origin());
    if (service.isEmpty()) {
      refuse(arrival.request(), RefusalReason.NO_MATCHING_VERSION, UNKNOWN_ORIGIN_RETRY_MS);
      return;
    }
    if (awaitsNews(arrival, nowNs)) {
      return;
    }
    ActiveRequest admitted =
        new ActiveRequest(
            arrival.request(), route, service.get(), customer, arrival.hop(), arrival.arrivedNs());
    arrival.origin().ifPresent(admitted::resumeFrom);
    if (admitted.isRelayed() && !admitted.maybeRan() && paths.isLost(admitted.service())) {
      refuse(arrival.request(), RefusalReason.NO_PATH, 0);
      return;
    }
    admitted.setMayRelay(arrival.mayRelay());
    quotaFilter.onRequest(admitted, nowNs);
  }

  /** Lets a stream wait whose version may have joined without this VM having heard of it. */
  private boolean awaitsNews(Arrival arrival, long nowNs) {
    return arrival.origin().isPresent()
        && !arrival.awaitedNews()
        && registryNews.tryAdd(
            arrival.request().number(),
            arrival.origin().get(),
            atNs -> handle(arrival.withNews(), atNs),
            nowNs);
  }

  /** Continues with a request that resumes a stream; it must not go on at a guess. */
  private void onOrigin(Arrival arrival, Optional<StreamOrigin> origin, long nowNs) {
    if (origin.isPresent()) {
      handle(arrival.withOrigin(origin.get()), nowNs);
    } else {
      refuse(arrival.request(), RefusalReason.ORIGIN_UNKNOWN, UNKNOWN_ORIGIN_RETRY_MS);
    }
  }

  /** Returns the service that began the stream if the route still leads there, or draws one. */
  private Optional<ServiceId> selectService(PlanRoute route, Optional<StreamOrigin> origin) {
    if (origin.isEmpty()) {
      return Optional.of(drawService(route));
    }
    return route.targets().stream()
        .map(WeightedService::service)
        .filter(origin.get().service()::equals)
        .findFirst();
  }

  private ServiceId drawService(PlanRoute route) {
    long total = route.targets().stream().mapToLong(WeightedService::weight).sum();
    long drawn = random.nextLong(total);
    for (WeightedService target : route.targets()) {
      drawn -= target.weight();
      if (drawn < 0) {
        return target.service();
      }
    }
    throw new IllegalStateException("target weights don't add up for route " + route.id());
  }

  private void waitOrRefuse(Arrival arrival, long nowNs) {
    ForwardRequest request = arrival.request();
    if (waiting.size() >= MAX_WAITING) {
      refuse(request, RefusalReason.PLAN_UNCERTAIN, retryAfterMs(nowNs));
      return;
    }
    long expiryNs = nowNs + maxWaitMs(request) * NS_PER_MS;
    waiting.put(request.number(), new Waiting(arrival, expiryNs));
    controlClient.syncSoon();
  }

  private long maxWaitMs(ForwardRequest request) {
    double part = hadSession ? LOST_SESSION_FRACTION : FIRST_SESSION_FRACTION;
    double objectiveLimitMs =
        route(request)
            .map(known -> known.objectiveMs() * part)
            .orElse((double) UNKNOWN_ROUTE_WAIT_MS);
    double deadlineLimitMs = request.deadlineMs().orElse(Long.MAX_VALUE) * DEADLINE_FRACTION;
    return (long) Math.min(objectiveLimitMs, deadlineLimitMs);
  }

  /** Returns the time until a session is expected, in milliseconds. */
  private long retryAfterMs(long nowNs) {
    long uptimeMs = (nowNs - startedNs.orElse(nowNs)) / NS_PER_MS;
    long remainingStartMs = hadSession ? 0 : TYPICAL_START_MS - uptimeMs;
    return Math.max(MIN_RETRY_AFTER_MS, remainingStartMs);
  }

  private boolean refuse(ForwardRequest request, RefusalReason refusal, long retryAfterMs) {
    actions.accept(ForwardAction.Refuse.beforeRouting(request.number(), refusal, retryAfterMs));
    return true;
  }
}
