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
import org.teaseltrail.core.forward.ForwardNode;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.forward.RefusalReason;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quarantine.RequestContent;

/**
 * Runs the parts that serve, under virtual time: three control members, some entry VMs and engines
 * that differ in speed by a factor of five, with callers who come back once after a refusal.
 */
final class ServingRun {

  private static final long NS_PER_MS = 1_000_000L;
  private static final int VMS = 6;
  private static final double[] SLOWNESS = {1, 1.3, 2, 2.5, 4, 5};
  private static final int HEARTBEAT_EVERY_MS = 1_200;
  private static final double FIRST_EVENT_PART = 0.2;
  private static final long SOON_MS = 1;
  private static final long BREAK_MS = 50;

  /** Time in which a place that has become free is handed to a request that waits. */
  private static final long HAND_OUT_NS = 300 * NS_PER_MS;

  /** Is one attempt of a VM's life at an engine. */
  private record Attempt(int vm, long life, long request, FakeEngine engine) {}

  private final FakeControlGroup group = new FakeControlGroup(3);
  private final SplittableRandom random;
  private final FakeEntryVms vms;
  private final List<FakeEngine> engines = new ArrayList<>();
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private final Map<RefusalReason, Integer> refused = new HashMap<>();
  private final Map<RefusalReason, Integer> refusedWithRoom = new HashMap<>();
  private long lastFullNs;
  private long lastRequest;
  private long firstCounted;

  ServingRun(SplittableRandom random) {
    this.random = random;
    group.start();
    FakeControl leader = group.leader();
    group.ask(leader, new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    for (int i = 0; i < SLOWNESS.length; i++) {
      engines.add(new FakeEngine("e" + i, SLOWNESS[i]));
    }
    vms = new FakeEntryVms(group, VMS, random, this::carryOut);
    vms.start();
    heartbeats();
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

  /** Returns the requests a second that the engines present can answer. */
  double perSecond() {
    return engines.stream().mapToDouble(FakeEngine::perSecond).sum();
  }

  /** Counts from now on, and only what becomes of callers who come from now on. */
  void countAnew() {
    refused.clear();
    refusedWithRoom.clear();
    firstCounted = lastRequest + 1;
    engines.forEach(FakeEngine::countAnew);
  }

  /** Returns the counted refusals, by reason. */
  Map<RefusalReason, Integer> refused() {
    return refused;
  }

  /** Returns those of them that came while some engine had had a free place for a while. */
  Map<RefusalReason, Integer> refusedWithRoom() {
    return refusedWithRoom;
  }

  /** Lets callers come at a rate for some time. */
  void play(int lengthMs, double perSecond) {
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

  /** Starts a VM with nothing remembered; what it had at engines is broken off. */
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

  /** Takes an engine away for good, if a member that leads can be told. */
  void leave(FakeEngine engine) {
    group.members().stream()
        .filter(FakeControl::isServing)
        .findFirst()
        .ifPresent(
            leader -> {
              engines.remove(engine);
              engine.become(FakeEngine.State.GONE);
              UpstreamId id = engine.id();
              group.ask(leader, new OperatorRequest.Leave(id, OptionalLong.empty()), 0);
            });
  }

  /**
   * Makes all engines sound: what hung at one of them is broken off, as its process has ended, and
   * what a slow one has goes on in the usual time.
   */
  void recoverEngines() {
    for (Attempt attempt : List.copyOf(attempts.values())) {
      if (attempt.engine().state() == FakeEngine.State.SILENT) {
        endLater(attempt, AttemptOutcome.BROKEN, SOON_MS);
      } else if (attempt.engine().state() == FakeEngine.State.SLOW) {
        endLater(attempt, AttemptOutcome.ANSWERED, attempt.engine().usualMs());
      }
    }
    engines.forEach(engine -> engine.become(FakeEngine.State.SOUND));
  }

  private void heartbeats() {
    for (FakeControl member : group.members()) {
      if (member.isServing()) {
        for (FakeEngine engine : engines) {
          group.ask(member, new OperatorRequest.Heartbeat(engine.registration()), 0);
        }
      }
    }
    group.after(HEARTBEAT_EVERY_MS * NS_PER_MS, this::heartbeats);
  }

  private void call(boolean comesBack) {
    lastRequest++;
    int vm = random.nextInt(VMS);
    long number = comesBack ? 2 * lastRequest : 2 * lastRequest + 1;
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
    vms.carryOut(vm, vms.node(vm).onRequest(request, group.nowNs()));
  }

  private void carryOut(int vm, ForwardAction action) {
    if (action instanceof ForwardAction.Dispatch dispatch) {
      dispatch(vm, dispatch);
    } else if (action instanceof ForwardAction.Cancel cancel) {
      forget(cancel.request());
    } else if (action instanceof ForwardAction.Refuse refuse) {
      note(refuse);
      boolean firstTry = refuse.request() % 2 == 0;
      if (firstTry) {
        group.after(refuse.retryAfterMs() * NS_PER_MS, () -> call(false));
      }
    }
  }

  private void note(ForwardAction.Refuse refuse) {
    if (refuse.request() / 2 < firstCounted) {
      return;
    }
    refused.merge(refuse.refusalReason(), 1, Integer::sum);
    if (group.nowNs() - lastFullNs > HAND_OUT_NS) {
      refusedWithRoom.merge(refuse.refusalReason(), 1, Integer::sum);
    }
  }

  private void dispatch(int vm, ForwardAction.Dispatch dispatch) {
    UpstreamId id = dispatch.upstream().id();
    FakeEngine engine =
        engines.stream().filter(one -> one.id().equals(id)).findFirst().orElse(null);
    if (engine == null) {
      end(vm, vms.life(vm), dispatch.request(), AttemptOutcome.NOT_CONNECTED, SOON_MS);
      return;
    }
    long tookMs = engine.begin();
    Attempt attempt = new Attempt(vm, vms.life(vm), dispatch.request(), engine);
    attempts.put(dispatch.request(), attempt);
    switch (engine.state()) {
      case GONE -> endLater(attempt, AttemptOutcome.NOT_CONNECTED, SOON_MS);
      case BREAKING -> endLater(attempt, AttemptOutcome.BROKEN, BREAK_MS);
      case FAILING -> endLater(attempt, AttemptOutcome.FAILED_ANSWER, BREAK_MS);
      case SILENT -> {}
      default -> {
        later((long) (FIRST_EVENT_PART * tookMs), () -> begun(attempt));
        endLater(attempt, AttemptOutcome.ANSWERED, tookMs);
        later(tookMs - 1, () -> pace(attempt, tookMs));
      }
    }
  }

  private void begun(Attempt attempt) {
    if (attempts.get(attempt.request()) == attempt) {
      ForwardNode node = vms.node(attempt.vm());
      node.onLoadReport(attempt.engine().id(), attempt.engine().running(), group.nowNs());
      vms.carryOut(attempt.vm(), node.onResponseStarted(attempt.request(), group.nowNs()));
    }
  }

  private void pace(Attempt attempt, long tookMs) {
    if (attempts.get(attempt.request()) == attempt) {
      vms.node(attempt.vm())
          .recordEventLatency(attempt.engine().id(), tookMs / 10.0, group.nowNs());
    }
  }

  private void endLater(Attempt attempt, AttemptOutcome end, long afterMs) {
    later(
        afterMs,
        () -> {
          if (attempts.get(attempt.request()) == attempt) {
            forget(attempt.request());
            end(attempt.vm(), attempt.life(), attempt.request(), end, 0);
          }
        });
  }

  private void end(int vm, long life, long request, AttemptOutcome end, long afterMs) {
    later(
        afterMs,
        () -> {
          if (life == vms.life(vm)) {
            vms.carryOut(vm, vms.node(vm).onAttemptEnded(request, end, group.nowNs()));
          }
        });
  }

  private void forget(long request) {
    Attempt attempt = attempts.remove(request);
    if (attempt != null) {
      attempt.engine().end();
    }
  }

  private void later(long ms, Runnable step) {
    group.after(ms * NS_PER_MS, step);
  }
}
