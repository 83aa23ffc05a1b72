package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardNode;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.forward.RefusalReason;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quarantine.RequestContent;

/**
 * Runs the parts that serve, under virtual time, before engines that ask for less work in their
 * answers: three control members, entry VMs of which the first has three times the callers of any
 * other, and engines whose requests last 0.3 s.
 */
final class BackpressureRun {

  private static final long NS_PER_MS = 1_000_000L;
  private static final int HEARTBEAT_EVERY_MS = 1_200;
  private static final int HEAD_AFTER_MS = 60;
  private static final int RUN_MS = 300;
  private static final int TURN_AWAY_AFTER_MS = 3;
  private static final int DEADLINE_MS = 4_000;
  private static final int BUSY_VM_WEIGHT = 3;
  private static final int OBJECTIVE_MS = 500;
  private static final int CALM_MS = 3_000;

  /** Is one attempt of a VM's life at an engine. */
  private record Attempt(int vm, long life, long request, AskingEngine engine, long dispatchedNs) {}

  /** Says when a caller came first, and whether it comes back if it is refused. */
  private record FirstCall(long atNs, boolean mayComeBack) {}

  /** Is a refusal that a caller got, and how long after it had come. */
  record Refused(RefusalReason refusal, long afterMs, long retryAfterMs) {}

  private final FakeControlGroup group = new FakeControlGroup(3);
  private final SplittableRandom random;
  private final FakeEntryVms vms;
  private final List<AskingEngine> engines = new ArrayList<>();
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private final Map<Long, FirstCall> firstCalls = new HashMap<>();
  private final Set<AskingEngine> unheard = new HashSet<>();
  private final Map<Long, Long> calledNs = new HashMap<>();
  private final List<Refused> refused = new ArrayList<>();
  private long lastRequest;
  private int asked;
  private int served;
  private int onTime;
  private boolean comeBack;

  BackpressureRun(SplittableRandom random, int vmCount, int engineCount) {
    this.random = random;
    group.start();
    group.ask(
        group.leader(),
        new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    for (int site = 0; site < engineCount; site++) {
      engines.add(new AskingEngine(site));
    }
    vms = new FakeEntryVms(group, vmCount, random, this::carryOut);
    vms.start();
    heartbeats();
  }

  /** Makes a run that has been going for a while in calm, and counts from now on. */
  static BackpressureRun inCalm(long seed, int vms, int engines, double perSecond) {
    BackpressureRun run = new BackpressureRun(new SplittableRandom(seed), vms, engines);
    run.play(CALM_MS, perSecond);
    run.countAnew();
    return run;
  }

  FakeControlGroup group() {
    return group;
  }

  FakeEntryVms vms() {
    return vms;
  }

  AskingEngine engine(int site) {
    return engines.get(site);
  }

  List<AskingEngine> engines() {
    return engines;
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

  /** Lets callers come back once, when they are told to, if they were refused. */
  void comeBackOnce() {
    comeBack = true;
  }

  /** Returns the part of the callers whose answer began within the objective of their first try. */
  double onTimeShare() {
    return asked == 0 ? 1 : (double) onTime / asked;
  }

  /** Counts from now on what becomes of callers. */
  void countAnew() {
    asked = 0;
    served = 0;
    onTime = 0;
    refused.clear();
  }

  /** Returns the part of the callers that got a whole answer. */
  double servedShare() {
    return asked == 0 ? 1 : (double) served / asked;
  }

  /** Returns the refusals since counting began. */
  List<Refused> refused() {
    return refused;
  }

  int served() {
    return served;
  }

  /** Starts a VM with nothing remembered; what it had at engines is broken off. */
  void restartVm(int vm) {
    for (Attempt attempt : List.copyOf(attempts.values())) {
      if (attempt.vm() == vm) {
        forget(attempt);
      }
    }
    engines.forEach(engine -> engine.excuse(vm));
    vms.restart(vm);
  }

  /** Cuts a VM off from all members, or joins it again. */
  void cutVm(int vm, boolean isCut) {
    engines.forEach(engine -> engine.excuse(vm));
    vms.cut(vm, isCut);
  }

  /** Loses an engine's heartbeats from now on, or lets them through again. */
  void loseHeartbeatsOf(AskingEngine engine, boolean lost) {
    if (lost) {
      unheard.add(engine);
    } else {
      unheard.remove(engine);
    }
  }

  private void send() {
    asked++;
    send(group.nowNs(), comeBack);
  }

  private void send(long firstCalledNs, boolean mayComeBack) {
    long number = ++lastRequest;
    calledNs.put(number, group.nowNs());
    firstCalls.put(number, new FirstCall(firstCalledNs, mayComeBack));
    ForwardRequest request =
        new ForwardRequest(
            number,
            "id-" + number,
            TestPlans.HOST,
            random.nextInt(3) == 0 ? "/resumable/x" : "/stream/x",
            Optional.of(TestPlans.KEY),
            OptionalLong.of(DEADLINE_MS),
            OptionalInt.of(500),
            OptionalInt.of(100),
            List.of(),
            RequestContent.EMPTY);
    int drawn = random.nextInt(vms.count() + BUSY_VM_WEIGHT - 1);
    int vm = drawn < vms.count() ? drawn : 0;
    vms.carryOut(vm, vms.node(vm).onRequest(request, group.nowNs()));
  }

  private void carryOut(int vm, ForwardAction action) {
    if (action instanceof ForwardAction.Dispatch dispatch) {
      dispatch(vm, dispatch);
    } else if (action instanceof ForwardAction.Cancel cancel) {
      Optional.ofNullable(attempts.get(cancel.request())).ifPresent(this::forget);
    } else if (action instanceof ForwardAction.Deliver) {
      served++;
    } else if (action instanceof ForwardAction.Refuse refuse) {
      long afterMs = (group.nowNs() - calledNs.get(refuse.request())) / NS_PER_MS;
      refused.add(new Refused(refuse.refusalReason(), afterMs, refuse.retryAfterMs()));
      FirstCall first = firstCalls.get(refuse.request());
      if (first.mayComeBack()) {
        later((int) refuse.retryAfterMs(), () -> send(first.atNs(), false));
      }
    }
  }

  private void dispatch(int vm, ForwardAction.Dispatch dispatch) {
    AskingEngine engine =
        engines.stream()
            .filter(one -> one.registration().id().equals(dispatch.upstream().id()))
            .findFirst()
            .orElseThrow();
    Attempt attempt = new Attempt(vm, vms.life(vm), dispatch.request(), engine, group.nowNs());
    attempts.put(dispatch.request(), attempt);
    engine.arrived(vm, calledNs.get(dispatch.request()), group.nowNs());
    if (engine.backoffMs() > 0) {
      later(TURN_AWAY_AFTER_MS, () -> turnAway(attempt));
      return;
    }
    engine.places().take(dispatch.request());
    begin(engine);
  }

  private void begin(AskingEngine engine) {
    for (long request : engine.places().begin()) {
      Attempt attempt = attempts.get(request);
      later(HEAD_AFTER_MS, () -> head(attempt));
      later(RUN_MS, () -> end(attempt, AttemptOutcome.ANSWERED));
    }
  }

  private void head(Attempt attempt) {
    if (isUnderWay(attempt)) {
      ForwardNode node = vms.node(attempt.vm());
      tell(attempt);
      long beganMs = (group.nowNs() - firstCalls.get(attempt.request()).atNs()) / NS_PER_MS;
      onTime += beganMs <= OBJECTIVE_MS ? 1 : 0;
      vms.carryOut(attempt.vm(), node.onResponseStarted(attempt.request(), group.nowNs()));
    }
  }

  private void turnAway(Attempt attempt) {
    if (isUnderWay(attempt)) {
      AskingEngine engine = attempt.engine();
      engine.turnedAway(attempt.vm(), group.nowNs());
      vms.node(attempt.vm())
          .backpressure()
          .startBackoff(
              engine.registration().upstreamIncarnation(), engine.backoffMs(), group.nowNs());
      end(attempt, AttemptOutcome.REFUSED);
    }
  }

  /** Tells the VM what the head of an answer says. */
  private void tell(Attempt attempt) {
    AskingEngine engine = attempt.engine();
    ForwardNode node = vms.node(attempt.vm());
    node.backpressure()
        .limit(
            engine.registration().upstreamIncarnation(),
            engine.limit(),
            attempt.dispatchedNs(),
            group.nowNs());
    if (engine.isLeaving()) {
      node.backpressure().leaving(engine.registration().upstreamIncarnation());
    }
    engine.told(attempt.vm(), group.nowNs());
  }

  private void end(Attempt attempt, AttemptOutcome end) {
    if (isUnderWay(attempt)) {
      forget(attempt);
      int vm = attempt.vm();
      vms.carryOut(vm, vms.node(vm).onAttemptEnded(attempt.request(), end, group.nowNs()));
    }
  }

  private void forget(Attempt attempt) {
    attempts.remove(attempt.request());
    attempt.engine().places().forget(attempt.request());
    begin(attempt.engine());
  }

  private boolean isUnderWay(Attempt attempt) {
    return attempts.get(attempt.request()) == attempt && attempt.life() == vms.life(attempt.vm());
  }

  private void heartbeats() {
    for (FakeControl member : group.members()) {
      if (member.isServing()) {
        for (AskingEngine engine : engines) {
          if (!unheard.contains(engine)) {
            group.ask(member, new OperatorRequest.Heartbeat(engine.registration()), 0);
          }
        }
      }
    }
    later(HEARTBEAT_EVERY_MS, this::heartbeats);
  }

  private void later(int ms, Runnable step) {
    group.after(ms * NS_PER_MS, step);
  }
}
