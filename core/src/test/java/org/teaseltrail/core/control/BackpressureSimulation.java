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
 * Simulates the serving components, in virtual time, with engines that signal backpressure in their
 * answers: three control members, entry VMs of which the first has three times as many callers as
 * any other, and engines whose requests take 0.3 s.
 */
final class BackpressureSimulation {

  private static final long NS_PER_MS = 1_000_000L;
  private static final int HEARTBEAT_EVERY_MS = 1_200;
  private static final int RESPONSE_START_AFTER_MS = 60;
  private static final int SERVICE_TIME_MS = 300;
  private static final int REJECTION_AFTER_MS = 3;
  private static final int DEADLINE_MS = 4_000;
  private static final int BUSY_VM_WEIGHT = 3;
  private static final int OBJECTIVE_MS = 500;
  private static final int WARM_UP_MS = 3_000;

  /** Attempt of one incarnation of a VM at an engine. */
  private record Attempt(
      int vm, long incarnation, long request, BackpressureEngine engine, long dispatchedNs) {}

  /** Time of a caller's first try, and whether the caller retries after a refusal. */
  private record FirstCall(long atNs, boolean canRetry) {}

  /** Refusal that a caller received, and the time since the caller's request. */
  record Refused(RefusalReason refusal, long afterMs, long retryAfterMs) {}

  private final FakeControlGroup group = new FakeControlGroup(3);
  private final SplittableRandom random;
  private final FakeEntryVms vms;
  private final List<BackpressureEngine> engines = new ArrayList<>();
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private final Map<Long, FirstCall> firstCalls = new HashMap<>();
  private final Set<BackpressureEngine> enginesWithoutHeartbeats = new HashSet<>();
  private final Map<Long, Long> callTimesNs = new HashMap<>();
  private final List<Refused> refused = new ArrayList<>();
  private long lastRequest;
  private int asked;
  private int served;
  private int onTime;
  private boolean retryEnabled;

  BackpressureSimulation(SplittableRandom random, int vmCount, int engineCount) {
    this.random = random;
    group.start();
    group.call(
        group.leader(),
        new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    for (int site = 0; site < engineCount; site++) {
      engines.add(new BackpressureEngine(site));
    }
    vms = new FakeEntryVms(group, vmCount, random, this::execute);
    vms.start();
    sendHeartbeats();
  }

  /**
   * Creates a simulation that has already run without faults for a while, with its counters reset.
   */
  static BackpressureSimulation createWarmedUp(long seed, int vms, int engines, double perSecond) {
    BackpressureSimulation run =
        new BackpressureSimulation(new SplittableRandom(seed), vms, engines);
    run.simulate(WARM_UP_MS, perSecond);
    run.resetCounters();
    return run;
  }

  FakeControlGroup group() {
    return group;
  }

  FakeEntryVms vms() {
    return vms;
  }

  BackpressureEngine engine(int engineIndex) {
    return engines.get(engineIndex);
  }

  List<BackpressureEngine> engines() {
    return engines;
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

  /** Makes refused callers retry once, after the time that the refusal names. */
  void retryRefusedOnce() {
    retryEnabled = true;
  }

  /**
   * Returns the fraction of callers whose response started within the objective, counted from their
   * first try.
   */
  double onTimeShare() {
    return asked == 0 ? 1 : (double) onTime / asked;
  }

  /** Resets the counters of callers and their outcomes. */
  void resetCounters() {
    asked = 0;
    served = 0;
    onTime = 0;
    refused.clear();
  }

  /** Returns the fraction of callers that received a complete answer. */
  double servedShare() {
    return asked == 0 ? 1 : (double) served / asked;
  }

  /** Returns the refusals since the counters were reset. */
  List<Refused> refused() {
    return refused;
  }

  int served() {
    return served;
  }

  /** Restarts a VM without its state; its attempts at engines are aborted. */
  void restartVm(int vm) {
    for (Attempt attempt : List.copyOf(attempts.values())) {
      if (attempt.vm() == vm) {
        removeAttempt(attempt);
      }
    }
    engines.forEach(engine -> engine.forgetVm(vm));
    vms.restart(vm);
  }

  /** Partitions a VM from all members, or reconnects it. */
  void setVmPartitioned(int vm, boolean isPartitioned) {
    engines.forEach(engine -> engine.forgetVm(vm));
    vms.setPartitioned(vm, isPartitioned);
  }

  /** Drops an engine's heartbeats from now on, or delivers them again. */
  void dropHeartbeatsOf(BackpressureEngine engine, boolean lost) {
    if (lost) {
      enginesWithoutHeartbeats.add(engine);
    } else {
      enginesWithoutHeartbeats.remove(engine);
    }
  }

  private void send() {
    asked++;
    send(group.nowNs(), retryEnabled);
  }

  private void send(long firstCalledNs, boolean canRetry) {
    long number = ++lastRequest;
    callTimesNs.put(number, group.nowNs());
    firstCalls.put(number, new FirstCall(firstCalledNs, canRetry));
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
    vms.execute(vm, vms.node(vm).onRequest(request, group.nowNs()));
  }

  private void execute(int vm, ForwardAction action) {
    if (action instanceof ForwardAction.Dispatch dispatch) {
      dispatch(vm, dispatch);
    } else if (action instanceof ForwardAction.Cancel cancel) {
      Optional.ofNullable(attempts.get(cancel.request())).ifPresent(this::removeAttempt);
    } else if (action instanceof ForwardAction.Deliver) {
      served++;
    } else if (action instanceof ForwardAction.Refuse refuse) {
      long afterMs = (group.nowNs() - callTimesNs.get(refuse.request())) / NS_PER_MS;
      refused.add(new Refused(refuse.refusalReason(), afterMs, refuse.retryAfterMs()));
      FirstCall first = firstCalls.get(refuse.request());
      if (first.canRetry()) {
        later((int) refuse.retryAfterMs(), () -> send(first.atNs(), false));
      }
    }
  }

  private void dispatch(int vm, ForwardAction.Dispatch dispatch) {
    BackpressureEngine engine =
        engines.stream()
            .filter(one -> one.registration().id().equals(dispatch.upstream().id()))
            .findFirst()
            .orElseThrow();
    Attempt attempt =
        new Attempt(vm, vms.incarnation(vm), dispatch.request(), engine, group.nowNs());
    attempts.put(dispatch.request(), attempt);
    engine.recordArrival(vm, callTimesNs.get(dispatch.request()), group.nowNs());
    if (engine.backoffMs() > 0) {
      later(REJECTION_AFTER_MS, () -> reject(attempt));
      return;
    }
    engine.places().enqueue(dispatch.request());
    startQueued(engine);
  }

  private void startQueued(BackpressureEngine engine) {
    for (long request : engine.places().startQueued()) {
      Attempt attempt = attempts.get(request);
      later(RESPONSE_START_AFTER_MS, () -> startResponse(attempt));
      later(SERVICE_TIME_MS, () -> end(attempt, AttemptOutcome.ANSWERED));
    }
  }

  private void startResponse(Attempt attempt) {
    if (isInFlight(attempt)) {
      ForwardNode node = vms.node(attempt.vm());
      applyBackpressure(attempt);
      long responseStartMs = (group.nowNs() - firstCalls.get(attempt.request()).atNs()) / NS_PER_MS;
      onTime += responseStartMs <= OBJECTIVE_MS ? 1 : 0;
      vms.execute(attempt.vm(), node.onResponseStarted(attempt.request(), group.nowNs()));
    }
  }

  private void reject(Attempt attempt) {
    if (isInFlight(attempt)) {
      BackpressureEngine engine = attempt.engine();
      engine.recordRejection(attempt.vm(), group.nowNs());
      vms.node(attempt.vm())
          .backpressure()
          .startBackoff(
              engine.registration().upstreamIncarnation(), engine.backoffMs(), group.nowNs());
      end(attempt, AttemptOutcome.REFUSED);
    }
  }

  /** Passes the backpressure signals in the head of an answer to the VM. */
  private void applyBackpressure(Attempt attempt) {
    BackpressureEngine engine = attempt.engine();
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
    engine.recordAnswer(attempt.vm(), group.nowNs());
  }

  private void end(Attempt attempt, AttemptOutcome end) {
    if (isInFlight(attempt)) {
      removeAttempt(attempt);
      int vm = attempt.vm();
      vms.execute(vm, vms.node(vm).onAttemptEnded(attempt.request(), end, group.nowNs()));
    }
  }

  private void removeAttempt(Attempt attempt) {
    attempts.remove(attempt.request());
    attempt.engine().places().removeRequest(attempt.request());
    startQueued(attempt.engine());
  }

  private boolean isInFlight(Attempt attempt) {
    return attempts.get(attempt.request()) == attempt
        && attempt.incarnation() == vms.incarnation(attempt.vm());
  }

  private void sendHeartbeats() {
    for (FakeControlMember member : group.members()) {
      if (member.isServing()) {
        for (BackpressureEngine engine : engines) {
          if (!enginesWithoutHeartbeats.contains(engine)) {
            group.call(member, new OperatorRequest.Heartbeat(engine.registration()), 0);
          }
        }
      }
    }
    later(HEARTBEAT_EVERY_MS, this::sendHeartbeats);
  }

  private void later(int ms, Runnable step) {
    group.after(ms * NS_PER_MS, step);
  }
}
