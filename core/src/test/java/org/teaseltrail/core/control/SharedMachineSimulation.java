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
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.plan.ClientLimits;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.plan.PlanService;
import org.teaseltrail.core.plan.RouteKind;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.plan.WeightedService;
import org.teaseltrail.core.quarantine.RequestContent;

/**
 * Runs entry VMs, a control group and engines on shared machines in virtual time, and counts the
 * requests that are on time: the first event within the objective and no pause longer than the
 * route allows.
 */
final class SharedMachineSimulation {

  private static final long NS_PER_MS = 1_000_000L;
  private static final int VMS = 8;
  private static final int HEARTBEAT_INTERVAL_MS = 1_200;
  private static final int NEIGHBOURS_INTERVAL_MS = 600;
  private static final int MAX_PAUSE_MS = 400;
  private static final int TIMEOUT_MS = 12_000;

  /** Kinds of requests, with the lengths, objectives and rates that customers name. */
  private enum Kind {
    DIAGNOSIS(6_670, 38, 828, 154),
    DRAFT(688, 29, 411, 95),
    TRIAGE(1_860, 2, 414, 234);

    private final int promptTokens;
    private final int events;
    private final int objectiveMs;
    private final int weight;

    Kind(int promptTokens, int events, int objectiveMs, int weight) {
      this.promptTokens = promptTokens;
      this.events = events;
      this.objectiveMs = objectiveMs;
      this.weight = weight;
    }

    private String path() {
      return "/" + name() + "/";
    }

    private PlanRoute route() {
      return new PlanRoute(
          new RouteId(name()),
          TestPlans.HOST,
          path(),
          RouteKind.STREAMING,
          false,
          List.of(new WeightedService(TestPlans.ENGINES, 1)),
          TIMEOUT_MS,
          objectiveMs,
          MAX_PAUSE_MS,
          1,
          2,
          true);
    }
  }

  private final FakeControlGroup group = new FakeControlGroup(3);
  private final SplittableRandom arrivals;
  private final SplittableRandom neighbours;
  private final FakeEntryVms vms;
  private final List<SharedMachineEngine> engines;
  private final Map<UpstreamId, SharedMachineEngine> engineById = new HashMap<>();
  private final Map<Long, Kind> kinds = new HashMap<>();
  private final Map<Long, Long> arrivedMs = new HashMap<>();
  private final Map<Long, Integer> dispatches = new HashMap<>();
  private boolean hasBusyNeighbours;
  private long lastRequest;
  private long onTime;
  private long counted;
  private int elapsedMs;

  /** Creates a simulation that has run for a second without requests. */
  SharedMachineSimulation(long seed, FeatureMode conditions, List<SharedMachineEngine> engines) {
    SplittableRandom random = new SplittableRandom(seed);
    arrivals = random.split();
    neighbours = random.split();
    this.engines = new ArrayList<>(engines);
    engines.forEach(engine -> engineById.put(engine.registration().id(), engine));
    ContentionSettings contention =
        new ContentionSettings(FeatureMode.OFF, FeatureMode.OFF, conditions, FeatureMode.OFF);
    group.useContention(contention);
    group.start();
    group.call(group.leader(), new OperatorRequest.InstallPlan(new InstalledPlan(plan(), "{}")));
    vms = new FakeEntryVms(group, VMS, random, contention, this::execute);
    vms.start();
    sendHeartbeats();
    run(1_000, 0);
  }

  private static ServingPlan plan() {
    return new ServingPlan(
        1,
        List.of(Kind.values()).stream().map(Kind::route).toList(),
        List.of(new PlanService(TestPlans.ENGINES, 100, true)),
        ClientLimits.DEFAULT,
        List.of(TestPlans.customer(TestPlans.KEY, 0)));
  }

  FakeControlGroup group() {
    return group;
  }

  FakeEntryVms vms() {
    return vms;
  }

  /** Lets the neighbours of one engine in seven be busy, redrawn every 600 ms. */
  void startNeighbours() {
    hasBusyNeighbours = true;
  }

  /** Returns the rate at which the engines' slots are used to a fraction, in requests a second. */
  double perSecondAt(double utilization) {
    double weights = 0;
    double tokens = 0;
    double events = 0;
    for (Kind kind : Kind.values()) {
      weights += kind.weight;
      tokens += kind.weight * kind.promptTokens;
      events += kind.weight * kind.events;
    }
    double meanTokens = tokens / weights;
    double meanEvents = events / weights;
    return utilization
        * engines.stream().mapToDouble(each -> each.perSecond(meanTokens, meanEvents)).sum();
  }

  /** Returns the share of the requests that ended on time since the counters were reset. */
  double onTimeShare() {
    return (double) onTime / counted;
  }

  void resetCounters() {
    onTime = 0;
    counted = 0;
  }

  /** Runs while callers send requests at a rate. */
  void run(int lengthMs, double perSecond) {
    for (int ms = 0; ms < lengthMs; ms++) {
      elapsedMs++;
      group.run(1);
      vms.tick();
      for (int i = 0; i < engines.size(); i++) {
        int offsetMs = i * NEIGHBOURS_INTERVAL_MS / engines.size();
        if (hasBusyNeighbours && (elapsedMs + offsetMs) % NEIGHBOURS_INTERVAL_MS == 0) {
          engines.get(i).drawNeighbours(neighbours);
        }
        SharedMachineEngine engine = engines.get(i);
        engine.run(nowMs(), (stream, output) -> onOutput(engine, stream, output));
      }
      if (arrivals.nextDouble() < perSecond / 1_000) {
        call();
      }
    }
  }

  private long nowMs() {
    return group.nowNs() / NS_PER_MS;
  }

  private void sendHeartbeats() {
    for (FakeControlMember member : group.members()) {
      if (member.isServing()) {
        for (SharedMachineEngine engine : engines) {
          group.call(member, new OperatorRequest.Heartbeat(engine.registration()), 0);
        }
      }
    }
    group.after(HEARTBEAT_INTERVAL_MS * NS_PER_MS, this::sendHeartbeats);
  }

  private Kind drawKind() {
    int total = List.of(Kind.values()).stream().mapToInt(kind -> kind.weight).sum();
    int drawn = arrivals.nextInt(total);
    for (Kind kind : Kind.values()) {
      drawn -= kind.weight;
      if (drawn < 0) {
        return kind;
      }
    }
    throw new IllegalStateException("no kind drawn");
  }

  private void call() {
    long number = ++lastRequest;
    Kind kind = drawKind();
    int vm = arrivals.nextInt(VMS);
    kinds.put(number, kind);
    arrivedMs.put(number, nowMs());
    ForwardRequest request =
        new ForwardRequest(
            number,
            "id-" + number,
            TestPlans.HOST,
            kind.path(),
            Optional.of(TestPlans.KEY),
            OptionalLong.of(TIMEOUT_MS),
            OptionalInt.of(kind.promptTokens),
            OptionalInt.of(100),
            List.of(),
            RequestContent.EMPTY);
    vms.execute(vm, vms.node(vm).onRequest(request, group.nowNs()));
  }

  private void execute(int vm, ForwardAction action) {
    if (action instanceof ForwardAction.Dispatch dispatch) {
      SharedMachineEngine engine = engineById.get(dispatch.upstream().id());
      Kind kind = kinds.get(dispatch.request());
      engine.start(
          new SharedMachineEngine.Stream(
              vm,
              dispatch.request(),
              arrivedMs.get(dispatch.request()),
              kind.objectiveMs,
              MAX_PAUSE_MS,
              kind.promptTokens,
              kind.events));
    } else if (action instanceof ForwardAction.Cancel cancel) {
      engines.forEach(engine -> engine.cancel(cancel.request()));
    } else if (action instanceof ForwardAction.Refuse) {
      counted++;
    }
  }

  private void onOutput(
      SharedMachineEngine engine,
      SharedMachineEngine.Stream stream,
      SharedMachineEngine.Output output) {
    ForwardNode node = vms.node(stream.vm());
    if (output == SharedMachineEngine.Output.FIRST_EVENT) {
      node.onLoadReport(engine.registration().id(), engine.running(), group.nowNs());
      node.onWorkTimeReport(
          engine.registration().upstreamIncarnation(), engine.percent(), group.nowNs());
      vms.execute(stream.vm(), node.onResponseStarted(stream.number(), group.nowNs()));
      return;
    }
    stream
        .eventIntervalMs()
        .ifPresent(
            intervalMs ->
                node.recordEventLatency(engine.registration().id(), intervalMs, group.nowNs()));
    counted++;
    onTime += stream.isLate() ? 0 : 1;
    vms.execute(
        stream.vm(), node.onAttemptEnded(stream.number(), AttemptOutcome.ANSWERED, group.nowNs()));
  }
}
