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
import org.teaseltrail.core.contention.FeatureMode;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardNode;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.forward.ForwardSettings;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quarantine.RequestContent;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Simulates 96 entry VMs, 98 engines and three control members in virtual time. Requests occupy a
 * slot for 0.3 to 1.1 s and are not tried again.
 */
final class DealtSlotsSimulation {

  static final int VMS = 96;
  static final int ENGINES = 98;

  private static final long USUAL_SEED = 5;
  private static final long NS_PER_MS = 1_000_000L;
  private static final long HEARTBEAT_INTERVAL_MS = 1_200;
  private static final int MIN_SERVICE_MS = 300;
  private static final int MAX_SERVICE_MS = 1_100;

  private record Attempt(int vm, QueueingEngine engine, long bornMs) {}

  private final FakeControlGroup group = new FakeControlGroup(3);
  private final SplittableRandom random;
  private final List<QueueingEngine> engines = new ArrayList<>();
  private final List<ForwardNode> nodes = new ArrayList<>();
  private final boolean[] dead = new boolean[VMS];
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private final Map<Long, Long> arrivedMs = new HashMap<>();
  private final List<Long> waitedMs = new ArrayList<>();
  private long lastRequest;
  private long nextHeartbeatMs;
  private double arrivals;
  private long usedSlotMs;
  private long slotMs;
  private int contentionUpdates;
  private final List<String> recordedActions = new ArrayList<>();
  private boolean isRecording;

  /** Starts with engines that report their start times. */
  DealtSlotsSimulation(FeatureMode mode) {
    this(mode, 1);
  }

  /**
   * Starts the simulation.
   *
   * @param mode whether slots are dealt
   * @param bornMs the start time that the engines report, 0 for none
   */
  DealtSlotsSimulation(FeatureMode mode, long bornMs) {
    this(mode, bornMs, USUAL_SEED);
  }

  /** Starts the simulation with a seed of its own. */
  DealtSlotsSimulation(FeatureMode mode, long bornMs, long seed) {
    random = new SplittableRandom(seed);
    ContentionSettings contention =
        new ContentionSettings(FeatureMode.OFF, FeatureMode.OFF, FeatureMode.OFF, mode);
    group.useContention(contention);
    group.start();
    group.call(
        group.leader(),
        new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    for (int i = 0; i < ENGINES; i++) {
      engines.add(new QueueingEngine("e" + i, bornMs));
    }
    engines.forEach(this::sendHeartbeat);
    group.run(200);
    startVms(contention);
    simulate(1_000, 0.3);
    resetCounters();
  }

  private void startVms(ContentionSettings contention) {
    List<VmId> members =
        group.members().stream().map(FakeControlMember::member).map(Member::vm).toList();
    for (int i = 0; i < VMS; i++) {
      VmId id = new VmId("entry-" + i);
      ForwardSettings usual = ForwardSamples.settings(id, 1, members, i);
      ForwardSettings settings =
          new ForwardSettings(
              id,
              usual.incarnation(),
              members,
              usual.sessionLifetimeMs(),
              usual.syncIntervalMs(),
              usual.retryRatio(),
              usual.retryWindowMs(),
              usual.retrySlack(),
              usual.quotas(),
              contention,
              usual.relay(),
              usual.seed());
      nodes.add(new ForwardNode(settings));
      int vm = i;
      group.listenServing(id, reply -> onReply(vm, reply));
      execute(i, nodes.get(i).start());
      group.run(2);
    }
  }

  private void onReply(int vm, ServingReply reply) {
    if (reply instanceof ServingReply.Contention) {
      contentionUpdates++;
    }
    if (!dead[vm]) {
      execute(vm, nodes.get(vm).onControlMessage(reply, group.nowNs()));
    }
  }

  FakeControlGroup group() {
    return group;
  }

  List<QueueingEngine> engines() {
    return engines;
  }

  ForwardNode node(int vm) {
    return nodes.get(vm);
  }

  /** Advances the time while callers send requests that need a part of the present slots. */
  void simulate(int lengthMs, double demand) {
    for (int ms = 0; ms < lengthMs; ms++) {
      group.run(1);
      tick();
      if (nowMs() >= nextHeartbeatMs) {
        nextHeartbeatMs = nowMs() + HEARTBEAT_INTERVAL_MS;
        engines.stream().filter(QueueingEngine::isPresent).forEach(this::sendHeartbeat);
      }
      long present = engines.stream().filter(QueueingEngine::isPresent).count();
      slotMs += present * QueueingEngine.SLOTS;
      usedSlotMs += engines.stream().mapToInt(QueueingEngine::running).sum();
      double meanServiceMs = (MIN_SERVICE_MS + MAX_SERVICE_MS) / 2.0;
      arrivals += demand * ENGINES * QueueingEngine.SLOTS / meanServiceMs;
      while (arrivals > random.nextDouble()) {
        arrivals--;
        arrive();
      }
    }
  }

  private void tick() {
    for (int vm = 0; vm < VMS; vm++) {
      if (!dead[vm] && group.nowNs() >= nodes.get(vm).nextWakeupNs()) {
        execute(vm, nodes.get(vm).tick(group.nowNs()));
      }
    }
  }

  private void arrive() {
    int vm = random.nextInt(VMS);
    if (dead[vm]) {
      return;
    }
    lastRequest++;
    arrivedMs.put(lastRequest, nowMs());
    ForwardRequest request =
        new ForwardRequest(
            lastRequest,
            "id-" + lastRequest,
            TestPlans.HOST,
            "/stream/x",
            Optional.of(TestPlans.KEY),
            OptionalLong.of(4_000),
            OptionalInt.of(1_000),
            OptionalInt.of(100),
            List.of(),
            RequestContent.EMPTY);
    execute(vm, nodes.get(vm).onRequest(request, group.nowNs()));
  }

  /** Kills a VM and aborts its requests. */
  void killVm(int vm) {
    dead[vm] = true;
    attempts
        .entrySet()
        .removeIf(
            entry -> {
              boolean isLost = entry.getValue().vm() == vm;
              if (isLost && isCurrent(entry.getValue())) {
                entry.getValue().engine().end(entry.getKey());
              }
              return isLost;
            });
  }

  /** Removes engines at once; connections there fail from now on. */
  void lose(List<QueueingEngine> lost) {
    lost.forEach(QueueingEngine::lose);
    for (Map.Entry<Long, Attempt> entry : List.copyOf(attempts.entrySet())) {
      if (lost.contains(entry.getValue().engine())) {
        end(entry.getKey(), AttemptOutcome.BROKEN);
      }
    }
  }

  /** Starts lost engines again under their ids. */
  void replace(List<QueueingEngine> lost) {
    lost.forEach(engine -> engine.replace(nowMs()));
    lost.forEach(this::sendHeartbeat);
  }

  private void sendHeartbeat(QueueingEngine engine) {
    for (FakeControlMember member : group.members()) {
      if (member.isServing()) {
        group.call(member, new OperatorRequest.Heartbeat(engine.registration()), 0);
      }
    }
  }

  void resetCounters() {
    engines.forEach(QueueingEngine::resetCounters);
    waitedMs.clear();
    usedSlotMs = 0;
    slotMs = 0;
    contentionUpdates = 0;
  }

  /** Returns the fraction of arrivals at engines that they rejected. */
  double rejectedRatio() {
    return rejected() / (double) engines.stream().mapToInt(QueueingEngine::arrived).sum();
  }

  int rejected() {
    return engines.stream().mapToInt(QueueingEngine::rejected).sum();
  }

  /** Returns the arrivals at the busiest engine relative to the mean. */
  double busiestToMean() {
    return engines.stream().mapToInt(QueueingEngine::arrived).max().orElseThrow()
        / engines.stream().mapToInt(QueueingEngine::arrived).average().orElseThrow();
  }

  /** Returns the fraction of the present engines' slots that were in use. */
  double usedRatio() {
    return usedSlotMs / (double) slotMs;
  }

  /** Returns how many messages told a VM that the leader starts or stops allocating all slots. */
  int contentionUpdates() {
    return contentionUpdates;
  }

  /** Returns the number of slots that the living VMs take for dealt to them. */
  int dealtSlots() {
    int dealt = 0;
    for (int vm = 0; vm < VMS; vm++) {
      dealt += dead[vm] ? 0 : nodes.get(vm).dealtSlotUsage().dealt();
    }
    return dealt;
  }

  /** Returns the number of requests that used a granted slot since the start. */
  long grantsUsed() {
    return nodes.stream().mapToLong(node -> node.dealtSlotUsage().byGrant()).sum();
  }

  /** Records the actions of the VMs towards engines and callers from now on. */
  void record() {
    isRecording = true;
  }

  /** Returns the recorded actions. */
  List<String> actions() {
    return recordedActions;
  }

  /** Returns the mean time that dispatched requests waited at VMs, in milliseconds. */
  double meanWaitMs() {
    return waitedMs.stream().mapToLong(Long::longValue).average().orElse(0);
  }

  boolean hasLeader() {
    return group.members().stream().anyMatch(FakeControlMember::isServing);
  }

  private long nowMs() {
    return group.nowNs() / NS_PER_MS;
  }

  private void execute(int vm, List<ForwardAction> actions) {
    for (ForwardAction action : actions) {
      if (isRecording && !(action instanceof ForwardAction.SendControl)) {
        recordedActions.add(vm + " " + action);
      }
      if (action instanceof ForwardAction.SendControl send) {
        group.send(send.member(), send.message());
      } else if (action instanceof ForwardAction.Dispatch dispatch) {
        dispatch(vm, dispatch);
      } else if (action instanceof ForwardAction.Cancel cancel) {
        release(cancel.request());
      }
    }
  }

  private void dispatch(int vm, ForwardAction.Dispatch dispatch) {
    QueueingEngine engine =
        engines.stream()
            .filter(each -> each.id().equals(dispatch.upstream().id()))
            .findFirst()
            .orElseThrow();
    long request = dispatch.request();
    waitedMs.add(nowMs() - arrivedMs.get(request));
    Attempt attempt = new Attempt(vm, engine, engine.bornMs());
    attempts.put(request, attempt);
    if (!engine.isPresent()) {
      later(1, () -> end(request, AttemptOutcome.NOT_CONNECTED));
      return;
    }
    long serviceMs = random.nextLong(MIN_SERVICE_MS, MAX_SERVICE_MS);
    boolean accepted =
        engine.accept(
            new QueueingEngine.Waiting(
                request,
                () ->
                    later(
                        serviceMs,
                        () -> {
                          if (attempts.get(request) == attempt) {
                            engine.end(request);
                            end(request, AttemptOutcome.ANSWERED);
                          }
                        })));
    if (!accepted) {
      later(2, () -> end(request, AttemptOutcome.REFUSED));
    }
  }

  private void release(long request) {
    Attempt attempt = attempts.remove(request);
    if (attempt != null && isCurrent(attempt)) {
      attempt.engine().end(request);
    }
  }

  private static boolean isCurrent(Attempt attempt) {
    return attempt.engine().isPresent() && attempt.engine().bornMs() == attempt.bornMs();
  }

  private void end(long request, AttemptOutcome outcome) {
    Attempt attempt = attempts.remove(request);
    if (attempt != null && !dead[attempt.vm()]) {
      execute(
          attempt.vm(), nodes.get(attempt.vm()).onAttemptEnded(request, outcome, group.nowNs()));
    }
  }

  private void later(long ms, Runnable step) {
    group.after(ms * NS_PER_MS, step);
  }
}
