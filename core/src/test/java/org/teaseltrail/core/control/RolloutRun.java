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
 * Runs the parts that serve, under virtual time, through one rollout: three control members, entry
 * VMs, engines of the old version, and engines of the ordered one that start beside them. Engines
 * differ in speed by a factor of five.
 */
final class RolloutRun {

  static final UpstreamVersion OLD = new UpstreamVersion("v1");
  static final UpstreamVersion ORDERED = new UpstreamVersion("v2");

  /** Bad answers after which the time runs within which a bad version must get nothing more. */
  static final int BAD_UNTIL_COUNTED = 50;

  private static final long NS_PER_MS = 1_000_000L;
  private static final int HEARTBEAT_EVERY_MS = 1_200;
  private static final int ENGINES_START_AFTER_MS = 300;
  private static final int BACK_AFTER_MS = 2_500;
  private static final int FIRST_EVENT_MS = 40;
  private static final int RUN_MS = 300;
  private static final int EVENTS = 10;
  private static final int DEADLINE_MS = 4_000;
  private static final double ONE_ROUTE_SHARE = 0.3;
  private static final double LEAST_SLOWNESS = 0.45;
  private static final double MOST_SLOWNESS = 2.25;

  /** Is one attempt of a VM's life at an engine, or where none answers any longer. */
  private record Attempt(int vm, long life, long request, Optional<VersionedEngine> engine) {
    void leaveEngine() {
      engine.ifPresent(there -> there.forget(request));
    }
  }

  private final FakeControlGroup group = new FakeControlGroup(3);
  private final SplittableRandom random;
  private final BadVersion bad;
  private final int durationMs;
  private final int enginesOfVersion;
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
  private int lost;
  private int lives;

  RolloutRun(
      SplittableRandom random, BadVersion bad, int vmCount, int engineCount, int durationMs) {
    this.random = random;
    this.bad = bad;
    this.durationMs = durationMs;
    enginesOfVersion = engineCount;
    group.start();
    group.ask(
        group.leader(),
        new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    startEngines(OLD);
    vms = new FakeEntryVms(group, vmCount, random, this::carryOut);
    vms.start();
    heartbeats();
  }

  FakeControlGroup group() {
    return group;
  }

  FakeEntryVms vms() {
    return vms;
  }

  /** Orders the rollout at whoever leads; its engines start a little later. */
  OperatorResult order() {
    OperatorResult answer = orderAgain();
    orderedNs = group.nowNs();
    later(ENGINES_START_AFTER_MS, () -> startEngines(ORDERED));
    return answer;
  }

  OperatorResult orderAgain() {
    RolloutOrder order = new RolloutOrder(TestPlans.ENGINES, ORDERED, durationMs);
    return group.ask(group.leader(), new OperatorRequest.StartRollout(order));
  }

  /** Returns the record of whoever leads. */
  Rollout rollout() {
    OperatorResult result =
        group.ask(group.leader(), new OperatorRequest.ReadRollout(TestPlans.ENGINES));
    return ((OperatorResult.RolloutRead) result).rollout().orElseThrow();
  }

  /** Lets time pass with callers at a rate. */
  void play(int lengthMs, double perSecond) {
    for (int ms = 0; ms < lengthMs; ms++) {
      group.run(1);
      vms.tick();
      if (random.nextDouble() < perSecond / 1_000) {
        send();
      }
    }
  }

  /** Ends an engine at random with all that it holds; its next life has another id. */
  void crashAtRandom() {
    if (!engines.isEmpty()) {
      crash(engines.get(random.nextInt(engines.size())));
    }
  }

  /** Ends all engines of a version at once, without a word, as on completion. */
  void endAll(UpstreamVersion version) {
    List.copyOf(engines).stream()
        .filter(engine -> engine.version().equals(version))
        .forEach(this::end);
  }

  /** All lose power at once; only what is on the members' disks is left. */
  void losePower() {
    group.members().forEach(FakeControl::kill);
    for (int vm = 0; vm < vms.count(); vm++) {
      restartVm(vm);
    }
    group.members().forEach(group::restart);
  }

  void restartVm(int vm) {
    for (Attempt attempt : List.copyOf(attempts.values())) {
      if (attempt.vm() == vm) {
        attempt.leaveEngine();
        attempts.remove(attempt.request());
      }
    }
    vms.restart(vm);
  }

  /** Returns requests that reached an engine between the order and its deadline. */
  long reached() {
    return reached;
  }

  /** Returns those of them that reached the ordered version. */
  long exposed() {
    return exposed;
  }

  /** Returns how many a bad version may get in this time. */
  double allowed() {
    CanaryLimit limit = CanaryLimit.DEFAULT;
    return limit.share() * reached + limit.slack();
  }

  int badAnswers() {
    return badAnswersNs.size();
  }

  /**
   * Returns how long the ordered version got requests after the bad answer from which it counts, in
   * milliseconds; 0 or less if it got none later.
   */
  long sentAfterCountedMs() {
    if (badAnswersNs.size() < BAD_UNTIL_COUNTED) {
      return 0;
    }
    return (lastExposedNs - badAnswersNs.get(BAD_UNTIL_COUNTED - 1)) / NS_PER_MS;
  }

  /** Returns when the ordered version got its last request, in milliseconds from the order. */
  long lastExposedMs() {
    return (lastExposedNs - orderedNs) / NS_PER_MS;
  }

  /** Returns the time since the order, in milliseconds. */
  long sinceOrderMs() {
    return (group.nowNs() - orderedNs) / NS_PER_MS;
  }

  /** Returns the part of the requests with an answer that got a whole one of an engine. */
  double servedShare() {
    return served == 0 ? 1 : (double) served / (served + refused);
  }

  /** Returns requests that were broken off when the old engines ended. */
  int lost() {
    return lost;
  }

  private void startEngines(UpstreamVersion version) {
    for (int i = 0; i < enginesOfVersion; i++) {
      engines.add(newEngine(version));
    }
    engines.forEach(this::beat);
  }

  private VersionedEngine newEngine(UpstreamVersion version) {
    lives++;
    double doublings =
        random.nextDouble() * Math.log(MOST_SLOWNESS / LEAST_SLOWNESS) + Math.log(LEAST_SLOWNESS);
    return new VersionedEngine(
        version + "-" + lives, TestPlans.ENGINES, version, Math.exp(doublings));
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
    vms.carryOut(vm, vms.node(vm).onRequest(request, group.nowNs()));
  }

  private void carryOut(int vm, ForwardAction action) {
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
      attempt.leaveEngine();
    }
  }

  private void dispatch(int vm, ForwardAction.Dispatch dispatch) {
    Optional<VersionedEngine> engine =
        engines.stream().filter(one -> one.id().equals(dispatch.upstream().id())).findFirst();
    Attempt attempt = new Attempt(vm, vms.life(vm), dispatch.request(), engine);
    attempts.put(dispatch.request(), attempt);
    if (engine.isEmpty()) {
      later(1, () -> end(attempt, AttemptOutcome.NOT_CONNECTED));
      return;
    }
    count(engine.get());
    engine.get().take(dispatch.request());
    begin(engine.get());
  }

  private void count(VersionedEngine engine) {
    boolean ordered = engine.version().equals(ORDERED);
    boolean inTime = group.nowNs() <= orderedNs + durationMs * NS_PER_MS;
    if (inTime && group.nowNs() >= orderedNs) {
      reached++;
      exposed += ordered ? 1 : 0;
    }
    if (ordered) {
      lastExposedNs = group.nowNs();
    }
  }

  private void begin(VersionedEngine engine) {
    for (long request : engine.begin()) {
      Attempt attempt = attempts.get(request);
      boolean isBad = isBad(engine, routes.get(request));
      double times = engine.slowness() * (isBad ? bad.times() : 1);
      boolean fails = isBad && !bad.isSlow();
      if (!fails) {
        later((int) (FIRST_EVENT_MS * times), () -> firstEvent(attempt));
      }
      int runMs = fails ? FIRST_EVENT_MS : (int) (RUN_MS * times);
      double pauseMs = (RUN_MS - FIRST_EVENT_MS) * times / EVENTS;
      later(runMs, () -> finish(attempt, isBad, fails, pauseMs));
    }
  }

  private boolean isBad(VersionedEngine engine, String route) {
    double passed = (group.nowNs() - orderedNs) / (double) (durationMs * NS_PER_MS);
    double share = bad.shareAt(passed, engine.isLoaded(), route.equals("/resumable/"));
    return engine.version().equals(ORDERED) && random.nextDouble() < share;
  }

  private void firstEvent(Attempt attempt) {
    if (isUnderWay(attempt)) {
      int vm = attempt.vm();
      vms.carryOut(vm, vms.node(vm).onResponseStarted(attempt.request(), group.nowNs()));
    }
  }

  private void finish(Attempt attempt, boolean isBad, boolean fails, double pauseMs) {
    if (isUnderWay(attempt) && isBad) {
      badAnswersNs.add(group.nowNs());
    }
    if (isUnderWay(attempt) && !fails) {
      vms.node(attempt.vm()).recordEventInterval(attempt.request(), pauseMs);
    }
    end(attempt, fails ? AttemptOutcome.FAILED_ANSWER : AttemptOutcome.ANSWERED);
  }

  private void crash(VersionedEngine engine) {
    end(engine);
    VersionedEngine next = newEngine(engine.version());
    later(
        BACK_AFTER_MS,
        () -> {
          engines.add(next);
          beat(next);
        });
  }

  private void end(VersionedEngine engine) {
    engines.remove(engine);
    for (long request : engine.end()) {
      Attempt attempt = attempts.get(request);
      lost++;
      later(1, () -> end(attempt, AttemptOutcome.BROKEN));
    }
  }

  private void end(Attempt attempt, AttemptOutcome end) {
    if (!isUnderWay(attempt)) {
      return;
    }
    attempts.remove(attempt.request());
    attempt.leaveEngine();
    attempt.engine().ifPresent(this::begin);
    int vm = attempt.vm();
    vms.carryOut(vm, vms.node(vm).onAttemptEnded(attempt.request(), end, group.nowNs()));
  }

  private boolean isUnderWay(Attempt attempt) {
    return attempts.get(attempt.request()) == attempt && attempt.life() == vms.life(attempt.vm());
  }

  private void heartbeats() {
    List.copyOf(engines).forEach(this::beat);
    later(HEARTBEAT_EVERY_MS, this::heartbeats);
  }

  private void beat(VersionedEngine engine) {
    for (FakeControl member : group.members()) {
      if (member.isServing()) {
        group.ask(member, new OperatorRequest.Heartbeat(engine.registration()), 0);
      }
    }
  }

  private void later(int ms, Runnable step) {
    group.after(ms * NS_PER_MS, step);
  }
}
