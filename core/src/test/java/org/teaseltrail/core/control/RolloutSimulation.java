package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quarantine.RequestContent;
import org.teaseltrail.core.rollout.CanaryLimit;
import org.teaseltrail.core.rollout.Rollout;
import org.teaseltrail.core.rollout.RolloutOrder;

/**
 * Simulates the serving components, in virtual time, through one rollout: three control members,
 * entry VMs, engines of the previous version, and engines of the target version that start in
 * addition. The speeds of engines differ by a factor of five.
 */
final class RolloutSimulation {

  static final UpstreamVersion OLD = new UpstreamVersion("v1");
  static final UpstreamVersion ORDERED = new UpstreamVersion("v2");

  /**
   * Number of bad answers after which the time starts within which a bad version must stop
   * receiving requests.
   */
  static final int BAD_ANSWERS_UNTIL_KNOWN = 50;

  private static final long NS_PER_MS = 1_000_000L;
  private static final int HEARTBEAT_EVERY_MS = 1_200;
  private static final int ENGINES_START_AFTER_MS = 300;
  private static final int RESTART_DELAY_MS = 2_500;
  private static final int FIRST_EVENT_MS = 40;
  private static final int SERVICE_TIME_MS = 300;
  private static final int EVENTS = 10;
  private static final int DEADLINE_MS = 4_000;
  private static final double ONE_ROUTE_SHARE = 0.3;
  private static final double MIN_LATENCY_FACTOR = 0.45;
  private static final double MAX_LATENCY_FACTOR = 2.25;

  /**
   * Attempt of one incarnation of a VM at an engine, or at an address where no engine runs any
   * more.
   */
  private record Attempt(int vm, long incarnation, long request, Optional<VersionedEngine> engine) {
    void removeFromEngine() {
      engine.ifPresent(current -> current.removeRequest(request));
    }
  }

  private final FakeControlGroup group = new FakeControlGroup(3);
  private final SplittableRandom random;
  private final VersionBehavior behavior;
  private final int durationMs;
  private final int enginesPerVersion;
  private final FakeEntryVms vms;
  private final List<VersionedEngine> engines = new ArrayList<>();
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private final Map<Long, String> routes = new HashMap<>();
  private final List<Long> badAnswersNs = new ArrayList<>();
  private long orderedNs = Long.MAX_VALUE;
  private long lastRequest;
  private long reached;
  private long exposed;
  private long lastExposedNs;
  private int served;
  private int refused;
  private int lostRequests;
  private int incarnations;

  RolloutSimulation(
      SplittableRandom random,
      VersionBehavior behavior,
      int vmCount,
      int engineCount,
      int durationMs) {
    this.random = random;
    this.behavior = behavior;
    this.durationMs = durationMs;
    enginesPerVersion = engineCount;
    group.start();
    group.call(
        group.leader(),
        new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    startEngines(OLD);
    vms = new FakeEntryVms(group, vmCount, random, this::execute);
    vms.start();
    sendHeartbeats();
  }

  FakeControlGroup group() {
    return group;
  }

  FakeEntryVms vms() {
    return vms;
  }

  /**
   * Orders the rollout from the current leader; the engines of the target version start a little
   * later.
   */
  OperatorResult order() {
    OperatorResult answer = startRollout();
    orderedNs = group.nowNs();
    later(ENGINES_START_AFTER_MS, () -> startEngines(ORDERED));
    return answer;
  }

  OperatorResult startRollout() {
    RolloutOrder order = new RolloutOrder(TestPlans.ENGINES, ORDERED, durationMs);
    return group.call(group.leader(), new OperatorRequest.StartRollout(order));
  }

  /** Returns the rollout as recorded by the current leader. */
  Rollout rollout() {
    OperatorResult result =
        group.call(group.leader(), new OperatorRequest.ReadRollout(TestPlans.ENGINES));
    return ((OperatorResult.RolloutRead) result).rollout().orElseThrow();
  }

  /** Advances the time while callers send requests at a rate. */
  void simulate(int lengthMs, double perSecond) {
    for (int ms = 0; ms < lengthMs; ms++) {
      group.run(1);
      vms.tick();
      if (random.nextDouble() < perSecond / 1_000) {
        send();
      }
    }
  }

  /** Crashes a random engine with all its requests; its next incarnation has another id. */
  void crashRandomEngine() {
    if (!engines.isEmpty()) {
      crash(engines.get(random.nextInt(engines.size())));
    }
  }

  /** Stops all engines of a version at once without announcement, as after a completed rollout. */
  void stopAll(UpstreamVersion version) {
    List.copyOf(engines).stream()
        .filter(engine -> engine.version().equals(version))
        .forEach(this::end);
  }

  /**
   * Restarts all components at once, as in a power loss; only the members' disks keep their
   * content.
   */
  void losePower() {
    group.members().forEach(FakeControlMember::kill);
    for (int vm = 0; vm < vms.count(); vm++) {
      restartVm(vm);
    }
    group.members().forEach(group::restart);
  }

  void restartVm(int vm) {
    for (Attempt attempt : List.copyOf(attempts.values())) {
      if (attempt.vm() == vm) {
        attempt.removeFromEngine();
        attempts.remove(attempt.request());
      }
    }
    vms.restart(vm);
  }

  /** Returns the number of requests that reached an engine between the order and its deadline. */
  long reached() {
    return reached;
  }

  /** Returns the number of requests that reached the target version in that time. */
  long exposed() {
    return exposed;
  }

  /** Returns the number of requests that a bad version may receive in that time. */
  double allowed() {
    CanaryLimit limit = CanaryLimit.DEFAULT;
    return limit.share() * reached + limit.slack();
  }

  int badAnswers() {
    return badAnswersNs.size();
  }

  /**
   * Returns how long the target version received requests after {@link #BAD_ANSWERS_UNTIL_KNOWN}
   * bad answers, in milliseconds; 0 or less if it received none later.
   */
  long exposureAfterDetectionMs() {
    if (badAnswersNs.size() < BAD_ANSWERS_UNTIL_KNOWN) {
      return 0;
    }
    return (lastExposedNs - badAnswersNs.get(BAD_ANSWERS_UNTIL_KNOWN - 1)) / NS_PER_MS;
  }

  /** Returns when the target version received its last request, in milliseconds after the order. */
  long lastExposedMs() {
    return (lastExposedNs - orderedNs) / NS_PER_MS;
  }

  /** Returns the time since the order, in milliseconds. */
  long sinceOrderMs() {
    return (group.nowNs() - orderedNs) / NS_PER_MS;
  }

  /** Returns the fraction of answered requests that received a complete answer of an engine. */
  double servedShare() {
    return served == 0 ? 1 : (double) served / (served + refused);
  }

  /** Returns the number of requests that were lost because their engine crashed or was stopped. */
  int lostRequests() {
    return lostRequests;
  }

  private void startEngines(UpstreamVersion version) {
    for (int i = 0; i < enginesPerVersion; i++) {
      engines.add(newEngine(version));
    }
    engines.forEach(this::sendHeartbeat);
  }

  private VersionedEngine newEngine(UpstreamVersion version) {
    incarnations++;
    double logFactor =
        random.nextDouble() * StrictMath.log(MAX_LATENCY_FACTOR / MIN_LATENCY_FACTOR)
            + StrictMath.log(MIN_LATENCY_FACTOR);
    return new VersionedEngine(
        version + "-" + incarnations, TestPlans.ENGINES, version, StrictMath.exp(logFactor));
  }

  private void send() {
    long number = ++lastRequest;
    String route = random.nextDouble() < ONE_ROUTE_SHARE ? "/resumable/" : "/stream/";
    routes.put(number, route);
    RequestContent content = digest -> digest.update(Long.toString(number).getBytes());
    ForwardRequest request =
        new ForwardRequest(
            number,
            "id-" + number,
            TestPlans.HOST,
            route + "x",
            Optional.of(TestPlans.KEY),
            OptionalLong.of(DEADLINE_MS),
            OptionalInt.of(500),
            OptionalInt.of(100),
            List.of(),
            content);
    int vm = random.nextInt(vms.count());
    vms.execute(vm, vms.node(vm).onRequest(request, group.nowNs()));
  }

  private void execute(int vm, ForwardAction action) {
    if (action instanceof ForwardAction.Dispatch dispatch) {
      dispatch(vm, dispatch);
    } else if (action instanceof ForwardAction.Cancel cancel) {
      cancel(cancel.request());
    } else if (action instanceof ForwardAction.Deliver deliver) {
      served++;
      routes.remove(deliver.request());
    } else if (action instanceof ForwardAction.Refuse refuse) {
      refused++;
      routes.remove(refuse.request());
    }
  }

  private void cancel(long request) {
    Attempt attempt = attempts.remove(request);
    if (attempt != null) {
      attempt.removeFromEngine();
    }
  }

  private void dispatch(int vm, ForwardAction.Dispatch dispatch) {
    Optional<VersionedEngine> engine =
        engines.stream().filter(one -> one.id().equals(dispatch.upstream().id())).findFirst();
    Attempt attempt = new Attempt(vm, vms.incarnation(vm), dispatch.request(), engine);
    attempts.put(dispatch.request(), attempt);
    if (engine.isEmpty()) {
      later(1, () -> end(attempt, AttemptOutcome.NOT_CONNECTED));
      return;
    }
    count(engine.get());
    engine.get().enqueue(dispatch.request());
    startQueued(engine.get());
  }

  private void count(VersionedEngine engine) {
    boolean ordered = engine.version().equals(ORDERED);
    boolean beforeDeadline = group.nowNs() <= orderedNs + durationMs * NS_PER_MS;
    if (beforeDeadline && group.nowNs() >= orderedNs) {
      reached++;
      exposed += ordered ? 1 : 0;
    }
    if (ordered) {
      lastExposedNs = group.nowNs();
    }
  }

  private void startQueued(VersionedEngine engine) {
    for (long request : engine.startQueued()) {
      Attempt attempt = attempts.get(request);
      boolean isBad = isBad(engine, routes.get(request));
      double latencyFactor = engine.latencyFactor() * (isBad ? behavior.latencyFactor() : 1);
      boolean fails = isBad && !behavior.isSlow();
      if (!fails) {
        later((int) (FIRST_EVENT_MS * latencyFactor), () -> firstEvent(attempt));
      }
      int runMs = fails ? FIRST_EVENT_MS : (int) (SERVICE_TIME_MS * latencyFactor);
      double eventIntervalMs = (SERVICE_TIME_MS - FIRST_EVENT_MS) * latencyFactor / EVENTS;
      later(runMs, () -> finish(attempt, isBad, fails, eventIntervalMs));
    }
  }

  private boolean isBad(VersionedEngine engine, String route) {
    double elapsedFraction = (group.nowNs() - orderedNs) / (double) (durationMs * NS_PER_MS);
    double share =
        behavior.badShareAt(elapsedFraction, engine.isLoaded(), route.equals("/resumable/"));
    return engine.version().equals(ORDERED) && random.nextDouble() < share;
  }

  private void firstEvent(Attempt attempt) {
    if (isInFlight(attempt)) {
      int vm = attempt.vm();
      vms.execute(vm, vms.node(vm).onResponseStarted(attempt.request(), group.nowNs()));
    }
  }

  private void finish(Attempt attempt, boolean isBad, boolean fails, double eventIntervalMs) {
    if (isInFlight(attempt) && isBad) {
      badAnswersNs.add(group.nowNs());
    }
    if (isInFlight(attempt) && !fails) {
      vms.node(attempt.vm()).recordEventInterval(attempt.request(), eventIntervalMs);
    }
    end(attempt, fails ? AttemptOutcome.FAILED_ANSWER : AttemptOutcome.ANSWERED);
  }

  private void crash(VersionedEngine engine) {
    end(engine);
    VersionedEngine next = newEngine(engine.version());
    later(
        RESTART_DELAY_MS,
        () -> {
          engines.add(next);
          sendHeartbeat(next);
        });
  }

  private void end(VersionedEngine engine) {
    engines.remove(engine);
    for (long request : engine.end()) {
      Attempt attempt = attempts.get(request);
      lostRequests++;
      later(1, () -> end(attempt, AttemptOutcome.BROKEN));
    }
  }

  private void end(Attempt attempt, AttemptOutcome end) {
    if (!isInFlight(attempt)) {
      return;
    }
    attempts.remove(attempt.request());
    attempt.removeFromEngine();
    attempt.engine().ifPresent(this::startQueued);
    int vm = attempt.vm();
    vms.execute(vm, vms.node(vm).onAttemptEnded(attempt.request(), end, group.nowNs()));
  }

  private boolean isInFlight(Attempt attempt) {
    return attempts.get(attempt.request()) == attempt
        && attempt.incarnation() == vms.incarnation(attempt.vm());
  }

  private void sendHeartbeats() {
    List.copyOf(engines).forEach(this::sendHeartbeat);
    later(HEARTBEAT_EVERY_MS, this::sendHeartbeats);
  }

  private void sendHeartbeat(VersionedEngine engine) {
    for (FakeControlMember member : group.members()) {
      if (member.isServing()) {
        group.call(member, new OperatorRequest.Heartbeat(engine.registration()), 0);
      }
    }
  }

  private void later(int ms, Runnable step) {
    group.after(ms * NS_PER_MS, step);
  }
}
