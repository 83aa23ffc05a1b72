package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.PlanCustomer;
import org.teaseltrail.core.plan.PlanIndex;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.plan.PlanService;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.plan.WeightedService;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Is an entry VM that forwards requests: admits them, places them, repeats them where that is
 * allowed, and ends each with one answer. It holds no body, socket or clock.
 *
 * <p>Time is that of a clock which also counts freezes.
 */
public final class ForwardNode {

  /** When a caller may come back that was turned away for want of a plan: two syncs. */
  private static final long PLAN_RETRY_MS = 500;

  /** When a caller may come back that met a VM about to end; its next try goes to another VM. */
  private static final long ENDING_RETRY_MS = 20;

  /** When a caller may come back that found no place: about a short answer's time. */
  private static final long PLACE_RETRY_MS = 400;

  /** Longest such time; a third of the shortest deadline that callers honour it for. */
  private static final long LONGEST_RETRY_MS = 1_500;

  /** Pace that a line is given at least, so that a service that is just back isn't shed. */
  private static final double LEAST_PACE_PER_S = 4;

  /** Requests that may wait whatever the pace. */
  private static final int LEAST_LINE = 4;

  private static final double NS_PER_S = 1e9;
  private static final double MS_PER_S = 1e3;

  /**
   * Part of a caller's patience that a request may wait for a place; the rest is for the answer.
   */
  private static final double WAIT_PART = 0.6;

  /** Attempts at most, those that reached nobody among them. */
  private static final int MAX_ATTEMPTS = 5;

  /** Requests at an engine, in relation to its places, beyond which others wait here. */
  private static final double ENGINE_FILL = 1.0;

  /** The same for requests that nobody is owed a place for. */
  private static final double FREE_ROOM_FILL = 0.6;

  private final ForwardSettings settings;
  private final RandomGenerator random;
  private final PlacementRule placement;
  private final ControlTies ties;
  private final UpstreamBook upstreams = new UpstreamBook();
  private final QuotaDesk quotas;
  private final Map<ServiceId, WaitingLine> lines = new HashMap<>();
  private final Map<ServiceId, RetryBudget> budgets = new HashMap<>();
  private final Map<Long, TrackedForward> tracked = new HashMap<>();
  private final TreeMap<Long, List<TrackedForward>> dueNs = new TreeMap<>();
  private Optional<PlanIndex> plan = Optional.empty();
  private boolean ending;
  private int vmCount = 1;
  private List<ForwardAction> out = new ArrayList<>();

  /**
   * Creates a VM without a plan.
   *
   * @param settings its settings
   */
  public ForwardNode(ForwardSettings settings) {
    this.settings = settings;
    random = new SplittableRandom(settings.seed());
    placement = new PlacementRule(random);
    ties = new ControlTies(settings);
    quotas = new QuotaDesk(settings);
  }

  /**
   * Begins: connects to the seeds.
   *
   * @return what is to be done
   */
  public List<ForwardAction> begin() {
    out.add(new ForwardAction.KeepConnected(ties.members()));
    return take();
  }

  /**
   * Takes other seeds, to be asked once the members known now don't answer.
   *
   * @param seeds control members' VMs
   */
  public void seeds(List<VmId> seeds) {
    ties.seeds(seeds);
  }

  /**
   * Takes no requests from now on. Guards against a request that comes late in a shutdown, over a
   * connection that was kept: it would be cut at the end, though another VM could have served it.
   */
  public void end() {
    ending = true;
  }

  /**
   * Takes a request that was read whole.
   *
   * @param request the request
   * @param nowNs time
   * @return what is to be done
   */
  public List<ForwardAction> arrived(ForwardRequest request, long nowNs) {
    if (ending) {
      refuse(request.number(), Refusal.ENDING, ENDING_RETRY_MS);
      return take();
    }
    if (plan.isEmpty()) {
      refuse(request.number(), Refusal.PLAN_UNCERTAIN, PLAN_RETRY_MS);
      return take();
    }
    boolean certain = ties.session().isValid(nowNs);
    Optional<PlanRoute> route = plan.get().route(request.host(), request.path());
    if (route.isEmpty()) {
      refuseByPlan(request, Refusal.NO_ROUTE, certain);
      return take();
    }
    boolean keyed = route.get().needsKey() && plan.get().hasCustomers();
    Optional<PlanCustomer> customer = keyed ? customerOf(request) : Optional.empty();
    if (keyed && (!certain || customer.isEmpty())) {
      refuseByPlan(request, Refusal.UNKNOWN_KEY, certain);
      return take();
    }
    admit(request, route.get(), customer, nowNs);
    return take();
  }

  /**
   * Takes the end of an attempt.
   *
   * @param number the request's number
   * @param end how it ended
   * @param nowNs time
   * @return what is to be done
   */
  public List<ForwardAction> attemptEnded(long number, AttemptEnd end, long nowNs) {
    TrackedForward request = tracked.get(number);
    if (request == null || request.at().isEmpty()) {
      return take();
    }
    request.at().get().ended(end, nowNs);
    request.attemptEnded(end);
    if (end == AttemptEnd.ANSWERED || !goOn(request, end, nowNs)) {
      finish(request, end);
    }
    serveLine(request.service(), nowNs);
    return take();
  }

  /**
   * Notes that the caller has got the first part of a stream.
   *
   * @param number the request's number
   */
  public void begun(long number) {
    TrackedForward request = tracked.get(number);
    if (request != null) {
      request.begin();
      schedule(request);
    }
  }

  /**
   * Takes the load that an upstream has told with an answer.
   *
   * @param upstream the upstream
   * @param requests requests that it works on or that wait there
   * @param nowNs time
   */
  public void loadTold(UpstreamId upstream, int requests, long nowNs) {
    upstreams.loadTold(upstream, requests, nowNs);
  }

  /**
   * Takes what an upstream needed for a part of an answer: a stream's event, or the whole answer of
   * a plain service.
   *
   * @param upstream the upstream
   * @param elapsedMs the time, in milliseconds
   * @param nowNs time
   */
  public void pace(UpstreamId upstream, double elapsedMs, long nowNs) {
    upstreams.pace(upstream, elapsedMs, nowNs);
  }

  /**
   * Takes a caller's leaving: nothing more is done for its request.
   *
   * @param number the request's number
   * @param nowNs time
   * @return what is to be done
   */
  public List<ForwardAction> callerLeft(long number, long nowNs) {
    TrackedForward request = tracked.remove(number);
    if (request != null) {
      line(request.service()).remove(request);
      cancel(request);
      serveLine(request.service(), nowNs);
    }
    return take();
  }

  /**
   * Takes what a control member says.
   *
   * @param reply the message
   * @param nowNs time
   * @return what is to be done
   */
  public List<ForwardAction> fromControl(ServingReply reply, long nowNs) {
    if (reply instanceof ServingReply.Confirmed confirmed) {
      confirmed(confirmed, nowNs);
    } else if (reply instanceof ServingReply.NotLeading other) {
      ties.session().notLeading(other);
      learnMembers(other);
    } else if (reply instanceof ServingReply.PlanUpdate update) {
      if (ties.session().isNewest(update.fencing())) {
        apply(update.plan());
      }
    } else if (reply instanceof ServingReply.RegistryUpdate update) {
      if (ties.session().isNewest(update.fencing())) {
        upstreams.update(update.revision(), update.present());
        serveLines(nowNs);
      }
    }
    return take();
  }

  /**
   * Does what is due.
   *
   * @param nowNs time
   * @return what is to be done
   */
  public List<ForwardAction> tick(long nowNs) {
    out.addAll(ties.due(this, nowNs));
    if (ties.fallBackToSeeds(nowNs)) {
      out.add(new ForwardAction.KeepConnected(ties.members()));
    }
    while (!dueNs.isEmpty() && dueNs.firstKey() <= nowNs) {
      dueNs.pollFirstEntry().getValue().forEach(request -> due(request, nowNs));
    }
    serveLines(nowNs);
    return take();
  }

  /**
   * Returns when the next tick is wanted.
   *
   * @return time in nanoseconds
   */
  public long nextWakeupNs() {
    return dueNs.isEmpty() ? ties.nextSyncNs() : Math.min(ties.nextSyncNs(), dueNs.firstKey());
  }

  /**
   * Tells whether callers may be sent here.
   *
   * @param nowNs time
   * @return true while the plan is known to be the newest
   */
  public boolean isReady(long nowNs) {
    return plan.isPresent() && ties.session().isValid(nowNs);
  }

  /**
   * Returns the plan in force.
   *
   * @return the plan, if one has come
   */
  public Optional<ServingPlan> plan() {
    return plan.map(PlanIndex::plan);
  }

  /**
   * Returns how many requests have no answer yet.
   *
   * @return those that wait and those at upstreams
   */
  public int open() {
    return tracked.size();
  }

  long planVersion() {
    return plan.map(held -> held.plan().version()).orElse(-1L);
  }

  long registryRevision() {
    return upstreams.revision();
  }

  Map<UpstreamId, Integer> inFlight() {
    return upstreams.inFlight();
  }

  Map<CustomerId, Double> quotaUsed(long nowNs) {
    return quotas.usedHere(nowNs);
  }

  Map<CustomerId, Double> demandPerSecond(long nowNs) {
    return quotas.demandPerSecond(nowNs);
  }

  private void confirmed(ServingReply.Confirmed confirmed, long nowNs) {
    if (!ties.session().confirmed(confirmed, nowNs)) {
      return;
    }
    learnMembers(confirmed);
    vmCount = Math.max(1, confirmed.vmCount());
    upstreams.elsewhere(confirmed.elsewhere(), nowNs);
    quotas.told(confirmed, nowNs);
    serveLines(nowNs);
  }

  private void learnMembers(ServingReply reply) {
    if (ties.learn(reply)) {
      out.add(new ForwardAction.KeepConnected(ties.members()));
    }
  }

  private void apply(ServingPlan newer) {
    if (newer.version() <= planVersion()) {
      return;
    }
    plan = Optional.of(new PlanIndex(newer));
    quotas.configure(newer);
    ties.session().inForce(newer.version());
  }

  /** Refuses by the plan, unless a newer one may say otherwise. */
  private void refuseByPlan(ForwardRequest request, Refusal refusal, boolean certain) {
    if (certain) {
      refuse(request.number(), refusal, 0);
    } else {
      refuse(request.number(), Refusal.PLAN_UNCERTAIN, PLAN_RETRY_MS);
    }
  }

  private Optional<PlanCustomer> customerOf(ForwardRequest request) {
    return request.key().flatMap(key -> plan.orElseThrow().customer(key));
  }

  private void admit(
      ForwardRequest request, PlanRoute route, Optional<PlanCustomer> customer, long nowNs) {
    QuotaVerdict verdict =
        customer.map(known -> quotas.asked(known, request, nowNs)).orElse(QuotaVerdict.WITHIN);
    ServiceId service = drawService(route);
    TrackedForward admitted = new TrackedForward(request, route, service, customer, nowNs);
    tracked.put(request.number(), admitted);
    budget(service).request(nowNs);
    if (verdict == QuotaVerdict.WITHIN) {
      placeOrWait(admitted, nowNs);
    } else if (verdict == QuotaVerdict.OVER || !placeInFreeRoom(admitted, nowNs)) {
      tracked.remove(request.number());
      long waitMs = quotas.waitMs(customer.orElseThrow(), request);
      refuse(request.number(), Refusal.OVER_QUOTA, waitMs);
      return;
    }
    customer.ifPresent(known -> quotas.take(known, request, nowNs));
  }

  private boolean placeInFreeRoom(TrackedForward request, long nowNs) {
    return line(request.service()).isEmpty() && place(request, FREE_ROOM_FILL, nowNs);
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

  private void placeOrWait(TrackedForward request, long nowNs) {
    boolean overtakes = !line(request.service()).isEmpty();
    if (!overtakes && place(request, nowNs)) {
      line(request.service()).served(nowNs);
      return;
    }
    line(request.service()).add(request);
    schedule(request);
    serveLine(request.service(), nowNs);
  }

  private boolean place(TrackedForward request, long nowNs) {
    return place(request, ENGINE_FILL, nowNs);
  }

  private boolean place(TrackedForward request, double fill, long nowNs) {
    boolean engine =
        plan.flatMap(held -> held.service(request.service()))
            .map(PlanService::engine)
            .orElse(false);
    Optional<UpstreamView> chosen =
        placement.choose(request, upstreams.of(request.service()), engine, fill, nowNs);
    chosen.ifPresent(view -> dispatch(request, view, nowNs));
    return chosen.isPresent();
  }

  private void dispatch(TrackedForward request, UpstreamView view, long nowNs) {
    view.sent();
    request.sentTo(view, nowNs);
    schedule(request);
    out.add(
        new ForwardAction.Dispatch(
            request.number(),
            request.attempts(),
            view.registration(),
            request.route(),
            request.customer(),
            request.leftMs(nowNs)));
  }

  /** Tries again where that is allowed. */
  private boolean goOn(TrackedForward request, AttemptEnd end, long nowNs) {
    boolean mayRepeat = !end.maybeRan() || request.route().mayRepeat();
    boolean attemptsLeft =
        request.sends() < request.route().maxAttempts() && request.attempts() < MAX_ATTEMPTS;
    boolean timeLeft = nowNs < request.patientUntilNs();
    boolean elsewhere = placement.hasUsable(request, upstreams.of(request.service()), nowNs);
    if (!mayRepeat || !attemptsLeft || !timeLeft || !elsewhere) {
      return false;
    }
    boolean free = end == AttemptEnd.NOT_CONNECTED;
    double ownSlack = settings.retrySlack() / vmCount;
    if (!free && !budget(request.service()).take(ownSlack, nowNs)) {
      return false;
    }
    placeOrWait(request, nowNs);
    return true;
  }

  private void finish(TrackedForward request, AttemptEnd end) {
    tracked.remove(request.number());
    if (end == AttemptEnd.ANSWERED || end == AttemptEnd.FAILED_ANSWER) {
      out.add(new ForwardAction.Deliver(request.number()));
    } else if (request.maybeRan()) {
      refuse(request.number(), Refusal.BROKEN, 0);
    } else {
      refuse(request.number(), Refusal.NOT_RUN, PLACE_RETRY_MS);
    }
  }

  /** Looks after a request whose time may have come. */
  private void due(TrackedForward request, long nowNs) {
    boolean over = tracked.get(request.number()) != request;
    if (over) {
      return;
    }
    if (nowNs < wakeNs(request)) {
      schedule(request);
      return;
    }
    tracked.remove(request.number());
    line(request.service()).remove(request);
    boolean atUpstream = request.at().isPresent();
    request.at().ifPresent(view -> timedOut(view, nowNs));
    cancel(request);
    if (atUpstream || request.maybeRan()) {
      refuse(request.number(), Refusal.TIMED_OUT, 0);
    } else {
      refuse(request.number(), Refusal.WAITED_TOO_LONG, PLACE_RETRY_MS);
    }
  }

  private void timedOut(UpstreamView view, long nowNs) {
    view.avoid(nowNs);
  }

  private void cancel(TrackedForward request) {
    if (request.at().isPresent()) {
      request.at().get().cancelled();
      out.add(new ForwardAction.Cancel(request.number()));
    }
  }

  private void schedule(TrackedForward request) {
    dueNs.computeIfAbsent(wakeNs(request), key -> new ArrayList<>()).add(request);
  }

  private static long wakeNs(TrackedForward request) {
    if (request.at().isPresent()) {
      return request.dueNs();
    }
    long patienceNs = request.patientUntilNs() - request.arrivedNs();
    return request.arrivedNs() + (long) (patienceNs * WAIT_PART);
  }

  private void serveLines(long nowNs) {
    List.copyOf(lines.keySet()).forEach(service -> serveLine(service, nowNs));
  }

  private void serveLine(ServiceId service, long nowNs) {
    WaitingLine waiting = line(service);
    if (!waiting.isEmpty()) {
      waiting.serve(request -> place(request, nowNs), nowNs);
      shed(waiting, nowNs);
    }
  }

  /**
   * Gives up what the line is too long for, the least urgent first.
   *
   * <p>Guards against a line that grows under more load than fits: each request in it would be held
   * until its caller leaves, and told nothing it can act on. What can't be served at the line's
   * pace before its patience ends is told so at once.
   */
  private void shed(WaitingLine waiting, long nowNs) {
    double pace = Math.max(LEAST_PACE_PER_S, waiting.pacePerSecond(nowNs));
    while (waiting.last().isPresent()) {
      TrackedForward last = waiting.last().get();
      double patienceS = (last.patientUntilNs() - last.arrivedNs()) * WAIT_PART / NS_PER_S;
      if (waiting.size() <= Math.max(LEAST_LINE, pace * patienceS)) {
        return;
      }
      waiting.remove(last);
      tracked.remove(last.number());
      long backMs = (long) (waiting.size() / pace * MS_PER_S);
      endWithout(last, Math.max(PLACE_RETRY_MS, Math.min(LONGEST_RETRY_MS, backMs)));
    }
  }

  private void endWithout(TrackedForward request, long retryAfterMs) {
    if (request.maybeRan()) {
      refuse(request.number(), Refusal.BROKEN, 0);
    } else {
      refuse(request.number(), Refusal.NO_UPSTREAM, retryAfterMs);
    }
  }

  private void refuse(long number, Refusal refusal, long retryAfterMs) {
    out.add(new ForwardAction.Refuse(number, refusal, retryAfterMs));
  }

  private WaitingLine line(ServiceId service) {
    return lines.computeIfAbsent(service, key -> new WaitingLine());
  }

  private RetryBudget budget(ServiceId service) {
    return budgets.computeIfAbsent(
        service, key -> new RetryBudget(settings.retryWindowMs(), settings.retryRatio()));
  }

  private List<ForwardAction> take() {
    List<ForwardAction> taken = out;
    out = new ArrayList<>();
    return taken;
  }
}
