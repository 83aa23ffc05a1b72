package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardNode;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.forward.RefusalReason;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quarantine.RequestContent;

/**
 * Simulates the serving components, in virtual time: three control members, several entry VMs and
 * engines whose speeds differ by a factor of five, with callers that retry once after a refusal.
 */
final class ServingSimulation {

  private static final long NS_PER_MS = 1_000_000L;
  private static final int VMS = 6;
  private static final double[] LATENCY_FACTORS = {1, 1.3, 2, 2.5, 4, 5};
  private static final int HEARTBEAT_EVERY_MS = 1_200;
  private static final double FIRST_EVENT_FRACTION = 0.2;
  private static final long FAILURE_DELAY_MS = 1;
  private static final long BREAK_MS = 50;

  /** Time within which a freed slot is allocated to a waiting request. */
  private static final long ALLOCATION_DELAY_NS = 300 * NS_PER_MS;

  /** Attempt of one incarnation of a VM at an engine. */
  private record Attempt(int vm, long incarnation, long request, FakeEngine engine) {}

  private final FakeControlGroup group = new FakeControlGroup(3);
  private final SplittableRandom random;
  private final FakeEntryVms vms;
  private final List<FakeEngine> engines = new ArrayList<>();
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private final Map<RefusalReason, Integer> refused = new HashMap<>();
  private final Map<RefusalReason, Integer> refusedWithSpareCapacity = new HashMap<>();
  private long lastFullNs;
  private long lastRequest;
  private long firstCounted;
  private int busiestVm;
  private double busiestVmShare;
  private int firstTries;
  private int firstTriesRefused;

  ServingSimulation(SplittableRandom random) {
    this(random, TestPlans.plan(1), ControlSettings.DEFAULT.contention());
  }

  /** Starts the simulation with a plan and with the features that apply. */
  ServingSimulation(SplittableRandom random, ServingPlan plan, ContentionSettings contention) {
    this.random = random;
    group.useContention(contention);
    group.start();
    FakeControlMember leader = group.leader();
    group.call(leader, new OperatorRequest.InstallPlan(new InstalledPlan(plan, "{}")));
    for (int i = 0; i < LATENCY_FACTORS.length; i++) {
      engines.add(new FakeEngine("e" + i, LATENCY_FACTORS[i]));
    }
    vms = new FakeEntryVms(group, VMS, random, this::execute);
    vms.start();
    sendHeartbeats();
  }

  FakeControlGroup group() {
    return group;
  }

  List<FakeEngine> engines() {
    return engines;
  }

  int vms() {
    return VMS;
  }

  /** Returns the throughput of the present engines, in requests per second. */
  double perSecond() {
    return engines.stream().mapToDouble(FakeEngine::perSecond).sum();
  }

  /** Resets the counters; only requests sent from now on are counted. */
  void resetCounters() {
    refused.clear();
    refusedWithSpareCapacity.clear();
    firstTries = 0;
    firstTriesRefused = 0;
    firstCounted = lastRequest + 1;
    engines.forEach(FakeEngine::resetDispatchCount);
  }

  /** Makes a share of all requests arrive at one VM, and the others at any. */
  void sendMostTo(int vm, double share) {
    busiestVm = vm;
    busiestVmShare = share;
  }

  /** Returns the share of counted requests that their first try's VM has not refused. */
  double servedFirstTries() {
    return 1 - (double) firstTriesRefused / firstTries;
  }

  /** Returns the counted refusals by reason. */
  Map<RefusalReason, Integer> refused() {
    return refused;
  }

  /**
   * Returns the counted refusals, by reason, that occurred while some engine had had a free slot
   * for a while.
   */
  Map<RefusalReason, Integer> refusedWithSpareCapacity() {
    return refusedWithSpareCapacity;
  }

  /** Advances the time while callers send requests at a rate. */
  void simulate(int lengthMs, double perSecond) {
    for (int ms = 0; ms < lengthMs; ms++) {
      group.run(1);
      if (engines.stream().allMatch(FakeEngine::isFull)) {
        lastFullNs = group.nowNs();
      }
      vms.tick();
      if (random.nextDouble() < perSecond / 1_000) {
        call(true);
      }
    }
  }

  /** Restarts a VM without its state; its attempts at engines are aborted. */
  void restartVm(int vm) {
    attempts
        .entrySet()
        .removeIf(
            entry -> {
              boolean lost = entry.getValue().vm() == vm;
              if (lost) {
                entry.getValue().engine().end();
              }
              return lost;
            });
    vms.restart(vm);
  }

  /** Removes an engine for good if a leader can receive its deregistration. */
  void deregister(FakeEngine engine) {
    group.members().stream()
        .filter(FakeControlMember::isServing)
        .findFirst()
        .ifPresent(
            leader -> {
              engines.remove(engine);
              engine.setState(FakeEngine.State.GONE);
              UpstreamId id = engine.id();
              group.call(leader, new OperatorRequest.Leave(id, OptionalLong.empty()), 0);
            });
  }

  /**
   * Makes all engines healthy: requests of a hanging engine break, as if its process had ended, and
   * those of a slow one continue at the usual speed.
   */
  void recoverEngines() {
    for (Attempt attempt : List.copyOf(attempts.values())) {
      if (attempt.engine().state() == FakeEngine.State.HANGING) {
        endLater(attempt, AttemptOutcome.BROKEN, FAILURE_DELAY_MS);
      } else if (attempt.engine().state() == FakeEngine.State.SLOW) {
        endLater(attempt, AttemptOutcome.ANSWERED, attempt.engine().baseServiceTimeMs());
      }
    }
    engines.forEach(engine -> engine.setState(FakeEngine.State.HEALTHY));
  }

  private void sendHeartbeats() {
    for (FakeControlMember member : group.members()) {
      if (member.isServing()) {
        for (FakeEngine engine : engines) {
          group.call(member, new OperatorRequest.Heartbeat(engine.registration()), 0);
        }
      }
    }
    group.after(HEARTBEAT_EVERY_MS * NS_PER_MS, this::sendHeartbeats);
  }

  private void call(boolean canRetry) {
    lastRequest++;
    boolean isAtBusiestVm = random.nextDouble() < busiestVmShare;
    int vm = isAtBusiestVm ? busiestVm : random.nextInt(VMS);
    firstTries += canRetry ? 1 : 0;
    long number = canRetry ? 2 * lastRequest : 2 * lastRequest + 1;
    ForwardRequest request =
        new ForwardRequest(
            number,
            "id-" + number,
            TestPlans.HOST,
            random.nextInt(3) == 0 ? "/resumable/x" : "/stream/x",
            Optional.of(TestPlans.KEY),
            OptionalLong.of(4_000),
            OptionalInt.of(500 + random.nextInt(9_000)),
            OptionalInt.of(100),
            List.of(),
            RequestContent.EMPTY);
    vms.execute(vm, vms.node(vm).onRequest(request, group.nowNs()));
  }

  private void execute(int vm, ForwardAction action) {
    if (action instanceof ForwardAction.Dispatch dispatch) {
      dispatch(vm, dispatch);
    } else if (action instanceof ForwardAction.Cancel cancel) {
      removeAttempt(cancel.request());
    } else if (action instanceof ForwardAction.Refuse refuse) {
      countRefusal(refuse);
      boolean firstTry = refuse.request() % 2 == 0;
      if (firstTry) {
        group.after(refuse.retryAfterMs() * NS_PER_MS, () -> call(false));
      }
    }
  }

  private void countRefusal(ForwardAction.Refuse refuse) {
    if (refuse.request() / 2 < firstCounted) {
      return;
    }
    firstTriesRefused += refuse.request() % 2 == 0 ? 1 : 0;
    refused.merge(refuse.refusalReason(), 1, Integer::sum);
    if (group.nowNs() - lastFullNs > ALLOCATION_DELAY_NS) {
      refusedWithSpareCapacity.merge(refuse.refusalReason(), 1, Integer::sum);
    }
  }

  private void dispatch(int vm, ForwardAction.Dispatch dispatch) {
    UpstreamId id = dispatch.upstream().id();
    FakeEngine engine =
        engines.stream().filter(one -> one.id().equals(id)).findFirst().orElse(null);
    if (engine == null) {
      end(
          vm,
          vms.incarnation(vm),
          dispatch.request(),
          AttemptOutcome.NOT_CONNECTED,
          FAILURE_DELAY_MS);
      return;
    }
    long serviceTimeMs = engine.startRequest();
    Attempt attempt = new Attempt(vm, vms.incarnation(vm), dispatch.request(), engine);
    attempts.put(dispatch.request(), attempt);
    switch (engine.state()) {
      case GONE -> endLater(attempt, AttemptOutcome.NOT_CONNECTED, FAILURE_DELAY_MS);
      case ABORTING -> endLater(attempt, AttemptOutcome.BROKEN, BREAK_MS);
      case FAILING -> endLater(attempt, AttemptOutcome.FAILED_ANSWER, BREAK_MS);
      case HANGING -> {}
      default -> {
        later((long) (FIRST_EVENT_FRACTION * serviceTimeMs), () -> reportResponseStarted(attempt));
        endLater(attempt, AttemptOutcome.ANSWERED, serviceTimeMs);
        later(serviceTimeMs - 1, () -> reportEventLatency(attempt, serviceTimeMs));
      }
    }
  }

  private void reportResponseStarted(Attempt attempt) {
    if (attempts.get(attempt.request()) == attempt) {
      ForwardNode node = vms.node(attempt.vm());
      node.onLoadReport(attempt.engine().id(), attempt.engine().running(), group.nowNs());
      vms.execute(attempt.vm(), node.onResponseStarted(attempt.request(), group.nowNs()));
    }
  }

  private void reportEventLatency(Attempt attempt, long serviceTimeMs) {
    if (attempts.get(attempt.request()) == attempt) {
      vms.node(attempt.vm())
          .recordEventLatency(attempt.engine().id(), serviceTimeMs / 10.0, group.nowNs());
    }
  }

  private void endLater(Attempt attempt, AttemptOutcome end, long afterMs) {
    later(
        afterMs,
        () -> {
          if (attempts.get(attempt.request()) == attempt) {
            removeAttempt(attempt.request());
            end(attempt.vm(), attempt.incarnation(), attempt.request(), end, 0);
          }
        });
  }

  private void end(int vm, long incarnation, long request, AttemptOutcome end, long afterMs) {
    later(
        afterMs,
        () -> {
          if (incarnation == vms.incarnation(vm)) {
            vms.execute(vm, vms.node(vm).onAttemptEnded(request, end, group.nowNs()));
          }
        });
  }

  private void removeAttempt(long request) {
    Attempt attempt = attempts.remove(request);
    if (attempt != null) {
      attempt.engine().end();
    }
  }

  private void later(long ms, Runnable step) {
    group.after(ms * NS_PER_MS, step);
  }
}
