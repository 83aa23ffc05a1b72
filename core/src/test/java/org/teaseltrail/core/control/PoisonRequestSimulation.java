package org.teaseltrail.core.control;

import java.nio.charset.StandardCharsets;
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
import org.teaseltrail.core.forward.PromptPart;
import org.teaseltrail.core.forward.RefusalReason;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quarantine.RequestContent;
import org.teaseltrail.core.relay.ProbeResult;
import org.teaseltrail.core.relay.RelayOutcome;
import org.teaseltrail.core.relay.RelaySettings;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * Simulates the serving components, in virtual time, with engines that crash when they run a poison
 * request: three control members, entry VMs, engines that restart under another id some seconds
 * after a crash, callers with different requests, one popular content that is requested often, and
 * callers that retry poison requests under new ids at any VM.
 */
final class PoisonRequestSimulation {

  /** Kind of route that a request takes. */
  enum Kind {
    /** Stream that may run only once. */
    STREAM("/stream/"),
    /** Stream that may be resumed at another engine. */
    RESUMABLE("/resumable/"),
    /** Request without a stream that may be retried. */
    SAFE("/safe/");

    private final String path;

    Kind(String path) {
      this.path = path;
    }
  }

  /** Time after which all connected VMs must know of an event, in milliseconds. */
  static final int PROPAGATION_MS = 3_000;

  /**
   * Number of upstreams crashed by one request after which it must become known as a poison
   * request.
   */
  static final int CRASHES_UNTIL_KNOWN = 3;

  /** The same number for a part that the prompts of different requests have in common. */
  static final int CRASHES_UNTIL_PART_KNOWN = 5;

  private static final long NS_PER_MS = 1_000_000L;
  private static final int HEARTBEAT_EVERY_MS = 1_200;
  private static final int RESTART_DELAY_MS = 2_500;
  private static final int SERVICE_TIME_MS = 400;
  private static final int FIRST_EVENT_MS = 60;
  private static final int FAILURE_DELAY_MS = 1;
  private static final int POISON_INTERVAL_MS = 1_000;
  private static final int POISON_TRIES = 3;
  private static final int DEADLINE_MS = 4_000;
  private static final int MAX_RETRY_DELAY_MS = DEADLINE_MS / 3;
  private static final String POPULAR = "popular";
  private static final String FIRST_PART = "first";
  private static final int OTHER_PARTS = 6;
  private static final int PART_TOKENS = 100;

  /**
   * One try of a caller.
   *
   * @param culprit what its crashes are counted under, its content or the poison part of its prompt
   * @param prompt the parts of its prompt
   */
  private record Call(
      String content,
      Kind kind,
      boolean poisonous,
      int triesLeft,
      String culprit,
      List<PromptPart> prompt) {

    private Call(String content, Kind kind, boolean poisonous, int triesLeft) {
      this(content, kind, poisonous, triesLeft, content, List.of());
    }

    private Call nextTry() {
      return new Call(content, kind, poisonous, triesLeft - 1, culprit, prompt);
    }
  }

  /**
   * Attempt of one incarnation of a VM at an engine, or at an address where no engine runs any
   * more.
   */
  private record Attempt(int vm, long incarnation, long request, Optional<BatchEngine> engine) {
    void removeFromEngine() {
      engine.ifPresent(current -> current.removeRequest(request));
    }
  }

  /** Counts the crashes that one poison content has caused. */
  static final class CrashStats {
    private final List<Long> crashTimesNs = new ArrayList<>();
    private final int crashesUntilKnown;
    private int sendsAfterDetection;

    private CrashStats(int crashesUntilKnown) {
      this.crashesUntilKnown = crashesUntilKnown;
    }

    int crashes() {
      return crashTimesNs.size();
    }

    /**
     * Returns the number of dispatches later than the propagation time after the crash by which the
     * culprit must be known.
     */
    int sendsAfterDetection() {
      return sendsAfterDetection;
    }

    private void recordDispatch(long nowNs, long disturbedNs) {
      boolean isKnown =
          crashTimesNs.size() >= crashesUntilKnown
              && nowNs - crashTimesNs.get(crashesUntilKnown - 1) > PROPAGATION_MS * NS_PER_MS
              && nowNs - disturbedNs > PROPAGATION_MS * NS_PER_MS;
      sendsAfterDetection += isKnown ? 1 : 0;
    }
  }

  private final FakeControlGroup group = new FakeControlGroup(3);
  private final SplittableRandom random;
  private final FakeEntryVms vms;
  private final List<BatchEngine> engines = new ArrayList<>();
  private final Map<Long, Call> calls = new HashMap<>();
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private final Map<String, CrashStats> crashStats = new HashMap<>();
  private final Map<RefusalReason, Integer> harmlessRefused = new HashMap<>();
  private final Map<RefusalReason, Integer> popularRefused = new HashMap<>();
  private Optional<Kind> poisonKind = Optional.empty();
  private int poisonContents;
  private boolean hasPrompts;
  private int poisonParts;
  private int poisonPartIntervalMs;
  private int popularIntervalMs;
  private boolean popularIsPoisonous;
  private int crashIntervalMs;
  private boolean heartbeatsLost;
  private long lastRequest;
  private long disturbedNs = Long.MIN_VALUE / 2;
  private int asked;
  private int served;

  PoisonRequestSimulation(SplittableRandom random, int vmCount, int engineCount) {
    this(random, vmCount, engineCount, false);
  }

  /** Creates a simulation whose VMs monitor their paths to the engines if that is asked for. */
  PoisonRequestSimulation(
      SplittableRandom random, int vmCount, int engineCount, boolean arePathsMonitored) {
    this.random = random;
    group.start();
    group.call(
        group.leader(),
        new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    for (int site = 0; site < engineCount; site++) {
      engines.add(new BatchEngine(site, 1, TestPlans.ENGINES));
      engines.add(new BatchEngine(engineCount + site, 1, TestPlans.PLAIN));
    }
    vms = new FakeEntryVms(group, vmCount, random, this::execute);
    if (arePathsMonitored) {
      vms.useRelays(
          vm ->
              new RelaySettings(
                  Optional.of(new SocketAddress("10.0.1." + vm, 7601)), Optional.empty()));
      vms.useProber(this::probe);
    }
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
   * Makes callers request poison contents of a kind, each content once a second with two retries.
   */
  void startPoisonRequests(Kind kind, int contents) {
    poisonKind = Optional.of(kind);
    poisonContents = contents;
  }

  void stopPoisonRequests() {
    poisonKind = Optional.empty();
  }

  /**
   * Gives requests prompts: a first part that all have in common, one of a few other parts, and a
   * last part of their own.
   */
  void usePrompts() {
    hasPrompts = true;
  }

  /**
   * Makes callers send requests whose prompts hold one of some poison parts, at this interval; no
   * two of them are alike.
   */
  void startPoisonParts(int parts, int intervalMs) {
    poisonParts = parts;
    poisonPartIntervalMs = intervalMs;
  }

  private Call poisonPartCall(long nowMs) {
    String part = "deadly-part-" + nowMs / poisonPartIntervalMs % poisonParts;
    return new Call("deadly-" + lastRequest, Kind.STREAM, true, 1, part, prompt(Optional.of(part)));
  }

  private List<PromptPart> prompt(Optional<String> poisonPart) {
    List<String> ids = new ArrayList<>(List.of(FIRST_PART, "other-" + random.nextInt(OTHER_PARTS)));
    poisonPart.ifPresent(part -> ids.add(random.nextInt(ids.size() + 1), part));
    ids.add("last-" + lastRequest);
    return ids.stream().map(id -> new PromptPart(id, PART_TOKENS)).toList();
  }

  /** Makes callers request one harmless content at this interval; 0 for never. */
  void startPopularRequests(int intervalMs) {
    popularIntervalMs = intervalMs;
  }

  /**
   * Makes the popular content a poison content or a harmless one, as if engines had a defect that
   * is fixed later.
   */
  void setPopularPoisonous(boolean poisonous) {
    popularIsPoisonous = poisonous;
  }

  /** Crashes a random engine at this interval; 0 for never. */
  void crashEnginesAtRandom(int intervalMs) {
    crashIntervalMs = intervalMs;
  }

  /** Drops all heartbeats, as in a partition between the engines and the members. */
  void dropHeartbeats(boolean lost) {
    heartbeatsLost = lost;
  }

  /**
   * Breaks the connections of a fraction of the running requests without stopping any engine, as a
   * network failure does.
   */
  void breakConnections(double share) {
    for (Attempt attempt : List.copyOf(attempts.values())) {
      if (random.nextDouble() < share) {
        end(attempt, AttemptOutcome.BROKEN);
      }
    }
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

  /** Records that members or VMs are disturbed now, which restarts the propagation time. */
  void recordDisturbance() {
    disturbedNs = group.nowNs();
  }

  /** Resets the counters of harmless requests. */
  void resetCounters() {
    asked = 0;
    served = 0;
    harmlessRefused.clear();
    popularRefused.clear();
  }

  /** Returns the fraction of harmless requests that received a complete answer. */
  double servedShare() {
    return asked == 0 ? 1 : (double) served / asked;
  }

  int asked() {
    return asked;
  }

  /** Returns the number of refused harmless requests by reason. */
  Map<RefusalReason, Integer> harmlessRefused() {
    return harmlessRefused;
  }

  /** Returns the number of refused requests for the popular content by reason. */
  Map<RefusalReason, Integer> popularRefused() {
    return popularRefused;
  }

  /** Returns the crash counts by poison content. */
  Map<String, CrashStats> crashStats() {
    return crashStats;
  }

  int crashes() {
    return crashStats.values().stream().mapToInt(CrashStats::crashes).sum();
  }

  int sendsAfterDetection() {
    return crashStats.values().stream().mapToInt(CrashStats::sendsAfterDetection).sum();
  }

  /** Advances the time while callers send requests with different contents at a rate. */
  void simulate(int lengthMs, double perSecond) {
    for (int ms = 0; ms < lengthMs; ms++) {
      group.run(1);
      vms.tick();
      long nowMs = group.nowNs() / NS_PER_MS;
      if (random.nextDouble() < perSecond / 1_000) {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        String content = "own-" + lastRequest;
        submit(
            hasPrompts
                ? new Call(content, kind, false, 2, content, prompt(Optional.empty()))
                : new Call(content, kind, false, 2));
      }
      if (popularIntervalMs > 0 && nowMs % popularIntervalMs == 0) {
        submit(new Call(POPULAR, Kind.STREAM, popularIsPoisonous, 2));
      }
      if (crashIntervalMs > 0 && nowMs % crashIntervalMs == 0) {
        crashEngine(engines.get(random.nextInt(engines.size())));
      }
      if (poisonParts > 0 && nowMs % poisonPartIntervalMs == 0) {
        submit(poisonPartCall(nowMs));
      }
      poisonKind
          .filter(kind -> nowMs % POISON_INTERVAL_MS == 0)
          .ifPresent(
              kind -> {
                for (int i = 0; i < poisonContents; i++) {
                  submit(new Call("deadly-" + i, kind, true, POISON_TRIES));
                }
              });
    }
  }

  private void submit(Call call) {
    if (!call.poisonous()) {
      asked++;
    }
    send(call);
  }

  private void send(Call call) {
    long number = ++lastRequest;
    calls.put(number, call);
    RequestContent content =
        digest -> digest.update(call.content().getBytes(StandardCharsets.UTF_8));
    ForwardRequest request =
        new ForwardRequest(
            number,
            "id-" + number,
            TestPlans.HOST,
            call.kind().path + "x",
            Optional.of(TestPlans.KEY),
            OptionalLong.of(DEADLINE_MS),
            OptionalInt.of(500),
            OptionalInt.of(100),
            call.prompt(),
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
      Call call = calls.remove(deliver.request());
      served += call.poisonous() ? 0 : 1;
    } else if (action instanceof ForwardAction.Refuse refuse) {
      onRefused(refuse);
    } else if (action instanceof ForwardAction.Relay relay) {
      // Engines are lost for all VMs alike, so that a peer has no path either.
      later(FAILURE_DELAY_MS, () -> declineRelay(vm, vms.incarnation(vm), relay.request()));
    }
  }

  private void declineRelay(int vm, long incarnation, long request) {
    if (incarnation == vms.incarnation(vm)) {
      vms.execute(vm, vms.node(vm).onRelayEnded(request, RelayOutcome.DECLINED, group.nowNs()));
    }
  }

  private ProbeResult probe(int vm, ForwardAction.Probe probe) {
    boolean isRunning = engines.stream().anyMatch(one -> one.id().equals(probe.upstream().id()));
    return isRunning ? ProbeResult.ANSWERED : ProbeResult.FAILED;
  }

  private void cancel(long request) {
    Attempt attempt = attempts.remove(request);
    if (attempt != null) {
      attempt.removeFromEngine();
    }
  }

  private void onRefused(ForwardAction.Refuse refuse) {
    Call call = calls.remove(refuse.request());
    if (!call.poisonous()) {
      harmlessRefused.merge(refuse.refusalReason(), 1, Integer::sum);
    }
    if (call.content().equals(POPULAR)) {
      popularRefused.merge(refuse.refusalReason(), 1, Integer::sum);
    }
    boolean canRetry = !refuse.refusalReason().maybeRan() || call.kind() != Kind.STREAM;
    if (call.triesLeft() > 1 && (canRetry || call.poisonous())) {
      Call next = call.nextTry();
      long delayMs = Math.min(MAX_RETRY_DELAY_MS, refuse.retryAfterMs());
      later((int) Math.max(50, delayMs), () -> send(next));
    }
  }

  private void dispatch(int vm, ForwardAction.Dispatch dispatch) {
    Call call = calls.get(dispatch.request());
    Optional<BatchEngine> engine =
        engines.stream().filter(one -> one.id().equals(dispatch.upstream().id())).findFirst();
    Attempt attempt = new Attempt(vm, vms.incarnation(vm), dispatch.request(), engine);
    attempts.put(dispatch.request(), attempt);
    if (engine.isEmpty()) {
      later(FAILURE_DELAY_MS, () -> end(attempt, AttemptOutcome.NOT_CONNECTED));
      return;
    }
    if (call.poisonous()) {
      crashStatsOf(call).recordDispatch(group.nowNs(), disturbedNs);
    }
    engine.get().enqueue(dispatch.request());
    startQueued(engine.get());
  }

  private void startQueued(BatchEngine engine) {
    for (long request : engine.startQueued()) {
      Attempt attempt = attempts.get(request);
      boolean sendsFirstEvent = !calls.get(request).poisonous() || random.nextInt(3) == 0;
      if (sendsFirstEvent && calls.get(request).kind() != Kind.SAFE) {
        later(FIRST_EVENT_MS, () -> firstEvent(attempt));
      }
      if (calls.get(request).poisonous()) {
        later(30 + random.nextInt(120), () -> crash(attempt, calls.get(request)));
      } else {
        later(SERVICE_TIME_MS, () -> end(attempt, AttemptOutcome.ANSWERED));
      }
    }
  }

  private void firstEvent(Attempt attempt) {
    if (isInFlight(attempt)) {
      int vm = attempt.vm();
      vms.execute(vm, vms.node(vm).onResponseStarted(attempt.request(), group.nowNs()));
    }
  }

  private void crash(Attempt attempt, Call call) {
    if (isInFlight(attempt)) {
      crashStatsOf(call).crashTimesNs.add(group.nowNs());
      attempt.engine().ifPresent(this::crashEngine);
    }
  }

  /** Crashes an engine with all its requests; its next incarnation has another id. */
  private void crashEngine(BatchEngine engine) {
    for (long request : engine.end()) {
      Attempt attempt = attempts.get(request);
      later(FAILURE_DELAY_MS, () -> end(attempt, AttemptOutcome.BROKEN));
    }
    engines.remove(engine);
    int incarnation = Math.toIntExact(group.nowNs() / NS_PER_MS);
    BatchEngine next =
        new BatchEngine(engine.engineIndex(), incarnation, engine.registration().service());
    later(
        RESTART_DELAY_MS,
        () -> {
          engines.add(next);
          sendHeartbeat(next);
        });
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

  private CrashStats crashStatsOf(Call call) {
    int crashesUntilKnown =
        call.prompt().isEmpty() ? CRASHES_UNTIL_KNOWN : CRASHES_UNTIL_PART_KNOWN;
    return crashStats.computeIfAbsent(call.culprit(), culprit -> new CrashStats(crashesUntilKnown));
  }

  private void sendHeartbeats() {
    List.copyOf(engines).forEach(this::sendHeartbeat);
    later(HEARTBEAT_EVERY_MS, this::sendHeartbeats);
  }

  private void sendHeartbeat(BatchEngine engine) {
    if (heartbeatsLost) {
      return;
    }
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
