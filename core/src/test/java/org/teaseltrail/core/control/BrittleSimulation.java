package org.teaseltrail.core.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.teaseltrail.core.backpressure.RejectionLimit;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quarantine.RequestContent;
import org.teaseltrail.core.registry.Registration;

/**
 * Simulates, in virtual time, six upstreams of two slots that let eight requests wait. While they
 * are brittle they let only one wait, and one that rejects more requests within a second than it
 * tolerates crashes; a new incarnation takes its place seconds later. Callers come back when they
 * are told.
 */
final class BrittleSimulation {

  static final int UPSTREAMS = 6;

  private static final long NS_PER_MS = 1_000_000L;
  private static final int SLOTS = 2;
  private static final int SERVICE_MS = 250;
  private static final int USUAL_QUEUE = 8;
  private static final int BRITTLE_QUEUE = 1;
  private static final int BRITTLE_AFTER_MS = 3_000;
  private static final int TOLERATED_PER_SECOND = 8;
  private static final int DOWN_MS = 4_000;
  private static final int HEARTBEAT_EVERY_MS = 1_200;
  private static final int DEADLINE_MS = 4_000;
  private static final int MAX_TRIES = 3;

  /** Throughput of all upstreams, in requests per second. */
  static final double ROOM_PER_SECOND = UPSTREAMS * SLOTS * 1_000.0 / SERVICE_MS;

  /** One place of an upstream, with the incarnation that occupies it. */
  private static final class Upstream {
    private final int place;
    private int incarnation;
    private boolean up = true;
    private final List<Attempt> running = new ArrayList<>();
    private final Deque<Attempt> waiting = new ArrayDeque<>();
    private final Deque<Long> rejectedNs = new ArrayDeque<>();

    private Upstream(int place) {
      this.place = place;
    }

    private UpstreamId id() {
      return new UpstreamId("u" + place + "-" + incarnation);
    }
  }

  private record Attempt(int vm, long request, long dispatchedNs) {}

  private record Try(int caller, int count, long firstNs) {}

  private final FakeControlGroup group = new FakeControlGroup(3);
  private final SplittableRandom random;
  private final ServiceId service;
  private final FakeEntryVms vms;
  private final List<Upstream> upstreams = new ArrayList<>();
  private final Map<Long, Try> tries = new HashMap<>();
  private final Map<Long, Upstream> attempts = new HashMap<>();
  private final Set<Integer> served = new HashSet<>();
  private final Map<Integer, Long> firstTriesNs = new HashMap<>();
  private long brittleSinceNs = Long.MAX_VALUE;
  private int falls;
  private int completed;
  private int lastCaller;
  private long lastRequest;

  BrittleSimulation(long seed, int vmCount, ServiceId service, ContentionSettings contention) {
    random = new SplittableRandom(seed);
    this.service = service;
    group.start();
    group.call(
        group.leader(),
        new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    for (int place = 0; place < UPSTREAMS; place++) {
      upstreams.add(new Upstream(place));
    }
    vms = new FakeEntryVms(group, vmCount, random, contention, this::execute);
    vms.start();
    sendHeartbeats();
  }

  FakeControlGroup group() {
    return group;
  }

  int falls() {
    return falls;
  }

  int completed() {
    return completed;
  }

  void startBrittle() {
    brittleSinceNs = group.nowNs();
    falls = 0;
    completed = 0;
  }

  void endBrittle() {
    brittleSinceNs = Long.MAX_VALUE;
  }

  /** Returns the share of callers that first came in a time span and were served in the end. */
  double servedShare(long fromNs, long toNs) {
    int asked = 0;
    int answered = 0;
    for (Map.Entry<Integer, Long> caller : firstTriesNs.entrySet()) {
      if (caller.getValue() >= fromNs && caller.getValue() < toNs) {
        asked++;
        answered += served.contains(caller.getKey()) ? 1 : 0;
      }
    }
    return (double) answered / asked;
  }

  /** Advances the time while callers come at a rate. */
  void simulate(int lengthMs, double perSecond) {
    for (int ms = 0; ms < lengthMs; ms++) {
      group.run(1);
      vms.tick();
      if (random.nextDouble() < perSecond / 1_000) {
        lastCaller++;
        firstTriesNs.put(lastCaller, group.nowNs());
        call(new Try(lastCaller, 1, group.nowNs()));
      }
    }
  }

  private void call(Try call) {
    long number = ++lastRequest;
    tries.put(number, call);
    boolean isPlain = service.equals(TestPlans.PLAIN);
    ForwardRequest request =
        new ForwardRequest(
            number,
            "id-" + number,
            TestPlans.HOST,
            isPlain ? "/safe/x" : "/resumable/x",
            Optional.of(TestPlans.KEY),
            OptionalLong.of(DEADLINE_MS),
            OptionalInt.of(100),
            OptionalInt.of(10),
            List.of(),
            RequestContent.EMPTY);
    int vm = random.nextInt(vms.count());
    vms.execute(vm, vms.node(vm).onRequest(request, group.nowNs()));
  }

  private void execute(int vm, ForwardAction action) {
    if (action instanceof ForwardAction.Dispatch dispatch) {
      Attempt attempt = new Attempt(vm, dispatch.request(), group.nowNs());
      later(1, () -> arrive(attempt, dispatch.upstream().id()));
    } else if (action instanceof ForwardAction.Cancel cancel) {
      cancel(cancel.request());
    } else if (action instanceof ForwardAction.Deliver deliver) {
      served.add(tries.get(deliver.request()).caller());
    } else if (action instanceof ForwardAction.Refuse refuse) {
      retry(tries.get(refuse.request()), refuse);
    }
  }

  /** Lets a refused caller come back when it was told, up to a third of the time it has left. */
  private void retry(Try refused, ForwardAction.Refuse refuse) {
    long elapsedMs = (group.nowNs() - refused.firstNs()) / NS_PER_MS;
    long afterMs = Math.min(refuse.retryAfterMs(), (DEADLINE_MS - elapsedMs) / 3);
    if (refused.count() < MAX_TRIES && elapsedMs < DEADLINE_MS) {
      Try next = new Try(refused.caller(), refused.count() + 1, refused.firstNs());
      later((int) Math.max(1, afterMs), () -> call(next));
    }
  }

  private void arrive(Attempt attempt, UpstreamId id) {
    Optional<Upstream> found =
        upstreams.stream().filter(each -> each.up && each.id().equals(id)).findFirst();
    if (found.isEmpty()) {
      later(1, () -> end(attempt, AttemptOutcome.NOT_CONNECTED, id));
      return;
    }
    Upstream upstream = found.get();
    if (upstream.running.size() < SLOTS) {
      attempts.put(attempt.request(), upstream);
      run(upstream, attempt);
    } else if (upstream.waiting.size() < queueLimit()) {
      attempts.put(attempt.request(), upstream);
      upstream.waiting.add(attempt);
    } else {
      reject(upstream, attempt);
    }
  }

  private boolean isBrittle() {
    return group.nowNs() >= brittleSinceNs;
  }

  private int queueLimit() {
    boolean isShort = isBrittle() && group.nowNs() >= brittleSinceNs + BRITTLE_AFTER_MS * NS_PER_MS;
    return isShort ? BRITTLE_QUEUE : USUAL_QUEUE;
  }

  private void run(Upstream upstream, Attempt attempt) {
    upstream.running.add(attempt);
    later(SERVICE_MS, () -> complete(upstream, attempt));
  }

  private void complete(Upstream upstream, Attempt attempt) {
    if (upstream.running.remove(attempt)) {
      attempts.remove(attempt.request());
      completed++;
      end(attempt, AttemptOutcome.ANSWERED, upstream.id());
      startWaiting(upstream);
    }
  }

  private void startWaiting(Upstream upstream) {
    while (upstream.running.size() < SLOTS && !upstream.waiting.isEmpty()) {
      run(upstream, upstream.waiting.removeFirst());
    }
  }

  private void reject(Upstream upstream, Attempt attempt) {
    UpstreamId id = upstream.id();
    later(1, () -> end(attempt, AttemptOutcome.REFUSED, id));
    upstream.rejectedNs.addLast(group.nowNs());
    while (group.nowNs() - upstream.rejectedNs.peekFirst() > 1_000 * NS_PER_MS) {
      upstream.rejectedNs.removeFirst();
    }
    boolean isSensitive = isBrittle() && queueLimit() == BRITTLE_QUEUE;
    if (isSensitive && upstream.rejectedNs.size() > TOLERATED_PER_SECOND) {
      fall(upstream);
    }
  }

  private void fall(Upstream upstream) {
    falls++;
    final UpstreamId id = upstream.id();
    List<Attempt> lost = new ArrayList<>(upstream.running);
    lost.addAll(upstream.waiting);
    upstream.running.clear();
    upstream.waiting.clear();
    upstream.rejectedNs.clear();
    upstream.up = false;
    lost.forEach(
        attempt -> {
          attempts.remove(attempt.request());
          later(1, () -> end(attempt, AttemptOutcome.BROKEN, id));
        });
    later(
        DOWN_MS,
        () -> {
          upstream.incarnation++;
          upstream.up = true;
          heartbeat(upstream);
        });
  }

  private void cancel(long request) {
    Upstream upstream = attempts.remove(request);
    if (upstream != null) {
      upstream.running.removeIf(attempt -> attempt.request() == request);
      upstream.waiting.removeIf(attempt -> attempt.request() == request);
      startWaiting(upstream);
    }
  }

  private void end(Attempt attempt, AttemptOutcome outcome, UpstreamId id) {
    boolean hasHead = outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.REFUSED;
    if (hasHead) {
      RejectionLimit limit =
          isBrittle() ? new RejectionLimit(TOLERATED_PER_SECOND) : RejectionLimit.NONE;
      vms.node(attempt.vm())
          .backpressure()
          .rejectionLimit(service, limit, attempt.dispatchedNs(), group.nowNs());
    }
    vms.execute(
        attempt.vm(),
        vms.node(attempt.vm()).onAttemptEnded(attempt.request(), outcome, group.nowNs()));
  }

  private void sendHeartbeats() {
    upstreams.stream().filter(each -> each.up).forEach(this::heartbeat);
    later(HEARTBEAT_EVERY_MS, this::sendHeartbeats);
  }

  private void heartbeat(Upstream upstream) {
    Registration registration = ForwardSamples.upstream(upstream.id().value(), service, SLOTS);
    for (FakeControlMember member : group.members()) {
      if (member.isServing()) {
        group.call(member, new OperatorRequest.Heartbeat(registration), 0);
      }
    }
  }

  private void later(int ms, Runnable step) {
    group.after(ms * NS_PER_MS, step);
  }
}
