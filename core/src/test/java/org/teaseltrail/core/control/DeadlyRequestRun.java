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
import org.teaseltrail.core.forward.RefusalReason;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quarantine.RequestContent;

/**
 * Runs the parts that serve, under virtual time, before engines that a deadly request ends: three
 * control members, entry VMs, engines that are back under another id some seconds after their end,
 * callers with requests of their own, a content that is asked for often, and callers whose deadly
 * requests come again and again under new ids, at any VM.
 */
final class DeadlyRequestRun {

  /** Says which kind of route a request takes. */
  enum Kind {
    /** A stream that may run once. */
    STREAM("/stream/"),
    /** A stream that may go on at another engine. */
    RESUMABLE("/resumable/"),
    /** A plain request that may be repeated. */
    SAFE("/safe/");

    private final String path;

    Kind(String path) {
      this.path = path;
    }
  }

  /** The time after which all VMs in touch must know of what has happened, in milliseconds. */
  static final int CONTACT_MS = 3_000;

  /** Ends of upstreams under one request after which the time to know of it runs. */
  static final int ENDS_UNTIL_KNOWN = 3;

  private static final long NS_PER_MS = 1_000_000L;
  private static final int HEARTBEAT_EVERY_MS = 1_200;
  private static final int BACK_AFTER_MS = 2_500;
  private static final int RUN_MS = 400;
  private static final int FIRST_EVENT_MS = 60;
  private static final int SOON_MS = 1;
  private static final int DEADLY_EVERY_MS = 1_000;
  private static final int DEADLY_TRIES = 3;
  private static final int DEADLINE_MS = 4_000;
  private static final int LONGEST_HEEDED_PAUSE_MS = DEADLINE_MS / 3;
  private static final String POPULAR = "popular";

  /** Is one try of a caller. */
  private record Call(String content, Kind kind, boolean deadly, int triesLeft) {}

  /** Is one attempt of a VM's life at an engine, or where none answers any longer. */
  private record Attempt(int vm, long life, long request, Optional<BatchEngine> engine) {
    void leaveEngine() {
      engine.ifPresent(there -> there.forget(request));
    }
  }

  /** Counts what one deadly content has done. */
  static final class Harm {
    private final List<Long> endsNs = new ArrayList<>();
    private int sendsOnceKnown;

    int ends() {
      return endsNs.size();
    }

    /** Returns the sends later than the time to know after the third end. */
    int sendsOnceKnown() {
      return sendsOnceKnown;
    }

    private void sent(long nowNs, long disturbedNs) {
      boolean known =
          endsNs.size() >= ENDS_UNTIL_KNOWN
              && nowNs - endsNs.get(ENDS_UNTIL_KNOWN - 1) > CONTACT_MS * NS_PER_MS
              && nowNs - disturbedNs > CONTACT_MS * NS_PER_MS;
      sendsOnceKnown += known ? 1 : 0;
    }
  }

  private final FakeControlGroup group = new FakeControlGroup(3);
  private final SplittableRandom random;
  private final FakeEntryVms vms;
  private final List<BatchEngine> engines = new ArrayList<>();
  private final Map<Long, Call> calls = new HashMap<>();
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private final Map<String, Harm> harm = new HashMap<>();
  private final Map<RefusalReason, Integer> innocentRefused = new HashMap<>();
  private final Map<RefusalReason, Integer> popularRefused = new HashMap<>();
  private Optional<Kind> deadlyKind = Optional.empty();
  private int deadlyContents;
  private int popularEveryMs;
  private boolean popularIsDeadly;
  private int endAtRandomEveryMs;
  private boolean heartbeatsLost;
  private long lastRequest;
  private long disturbedNs = Long.MIN_VALUE / 2;
  private int asked;
  private int served;

  DeadlyRequestRun(SplittableRandom random, int vmCount, int engineCount) {
    this.random = random;
    group.start();
    group.ask(
        group.leader(),
        new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    for (int site = 0; site < engineCount; site++) {
      engines.add(new BatchEngine(site, 1, TestPlans.ENGINES));
      engines.add(new BatchEngine(engineCount + site, 1, TestPlans.PLAIN));
    }
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

  /** Lets callers ask for deadly contents of a kind, each once a second with two more tries. */
  void askForDeadly(Kind kind, int contents) {
    deadlyKind = Optional.of(kind);
    deadlyContents = contents;
  }

  void stopAskingForDeadly() {
    deadlyKind = Optional.empty();
  }

  /** Lets one content, which harms nobody, be asked for this often. */
  void askForPopular(int everyMs) {
    popularEveryMs = everyMs;
  }

  /** Makes the popular content deadly, as with a fault of engines that is mended later. */
  void askForDeadlyPopular(boolean deadly) {
    popularIsDeadly = deadly;
  }

  /** Ends an engine at random this often, 0 for never. */
  void endAtRandom(int everyMs) {
    endAtRandomEveryMs = everyMs;
  }

  /** Loses all heartbeats, as in a cut between the engines and the members. */
  void loseHeartbeats(boolean lost) {
    heartbeatsLost = lost;
  }

  /** Breaks a share of what runs off without ending any engine, as lost links do. */
  void breakOff(double share) {
    for (Attempt attempt : List.copyOf(attempts.values())) {
      if (random.nextDouble() < share) {
        end(attempt, AttemptOutcome.BROKEN);
      }
    }
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

  /** Notes that members or VMs are disturbed now, so that they need time to know of anything. */
  void disturbed() {
    disturbedNs = group.nowNs();
  }

  /** Counts from now on what becomes of those who harm nobody. */
  void countAnew() {
    asked = 0;
    served = 0;
    innocentRefused.clear();
    popularRefused.clear();
  }

  /** Returns the part of requests that harm nobody which got a whole answer. */
  double servedShare() {
    return asked == 0 ? 1 : (double) served / asked;
  }

  int asked() {
    return asked;
  }

  /** Returns how often requests that harm nobody were refused, by reason. */
  Map<RefusalReason, Integer> innocentRefused() {
    return innocentRefused;
  }

  /** Returns the same for the popular content alone. */
  Map<RefusalReason, Integer> popularRefused() {
    return popularRefused;
  }

  /** Returns what each deadly content has done. */
  Map<String, Harm> harm() {
    return harm;
  }

  int ends() {
    return harm.values().stream().mapToInt(Harm::ends).sum();
  }

  int sendsOnceKnown() {
    return harm.values().stream().mapToInt(Harm::sendsOnceKnown).sum();
  }

  /** Lets time pass, with callers of requests of their own at a rate. */
  void play(int lengthMs, double perSecond) {
    for (int ms = 0; ms < lengthMs; ms++) {
      group.run(1);
      vms.tick();
      long nowMs = group.nowNs() / NS_PER_MS;
      if (random.nextDouble() < perSecond / 1_000) {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        ask(new Call("own-" + lastRequest, kind, false, 2));
      }
      if (popularEveryMs > 0 && nowMs % popularEveryMs == 0) {
        ask(new Call(POPULAR, Kind.STREAM, popularIsDeadly, 2));
      }
      if (endAtRandomEveryMs > 0 && nowMs % endAtRandomEveryMs == 0) {
        endEngine(engines.get(random.nextInt(engines.size())));
      }
      deadlyKind
          .filter(kind -> nowMs % DEADLY_EVERY_MS == 0)
          .ifPresent(
              kind -> {
                for (int i = 0; i < deadlyContents; i++) {
                  ask(new Call("deadly-" + i, kind, true, DEADLY_TRIES));
                }
              });
    }
  }

  private void ask(Call call) {
    if (!call.deadly()) {
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
      Call call = calls.remove(deliver.request());
      served += call.deadly() ? 0 : 1;
    } else if (action instanceof ForwardAction.Refuse refuse) {
      refused(refuse);
    }
  }

  private void cancel(long request) {
    Attempt attempt = attempts.remove(request);
    if (attempt != null) {
      attempt.leaveEngine();
    }
  }

  private void refused(ForwardAction.Refuse refuse) {
    Call call = calls.remove(refuse.request());
    if (!call.deadly()) {
      innocentRefused.merge(refuse.refusalReason(), 1, Integer::sum);
    }
    if (call.content().equals(POPULAR)) {
      popularRefused.merge(refuse.refusalReason(), 1, Integer::sum);
    }
    boolean mayRepeat = !refuse.refusalReason().maybeRan() || call.kind() != Kind.STREAM;
    if (call.triesLeft() > 1 && (mayRepeat || call.deadly())) {
      Call next = new Call(call.content(), call.kind(), call.deadly(), call.triesLeft() - 1);
      long pauseMs = Math.min(LONGEST_HEEDED_PAUSE_MS, refuse.retryAfterMs());
      later((int) Math.max(50, pauseMs), () -> send(next));
    }
  }

  private void dispatch(int vm, ForwardAction.Dispatch dispatch) {
    Call call = calls.get(dispatch.request());
    Optional<BatchEngine> engine =
        engines.stream().filter(one -> one.id().equals(dispatch.upstream().id())).findFirst();
    Attempt attempt = new Attempt(vm, vms.life(vm), dispatch.request(), engine);
    attempts.put(dispatch.request(), attempt);
    if (engine.isEmpty()) {
      later(SOON_MS, () -> end(attempt, AttemptOutcome.NOT_CONNECTED));
      return;
    }
    if (call.deadly()) {
      harmOf(call).sent(group.nowNs(), disturbedNs);
    }
    engine.get().take(dispatch.request());
    begin(engine.get());
  }

  private void begin(BatchEngine engine) {
    for (long request : engine.begin()) {
      Attempt attempt = attempts.get(request);
      boolean tellsFirst = !calls.get(request).deadly() || random.nextInt(3) == 0;
      if (tellsFirst && calls.get(request).kind() != Kind.SAFE) {
        later(FIRST_EVENT_MS, () -> firstEvent(attempt));
      }
      if (calls.get(request).deadly()) {
        later(30 + random.nextInt(120), () -> kill(attempt, calls.get(request)));
      } else {
        later(RUN_MS, () -> end(attempt, AttemptOutcome.ANSWERED));
      }
    }
  }

  private void firstEvent(Attempt attempt) {
    if (isUnderWay(attempt)) {
      int vm = attempt.vm();
      vms.carryOut(vm, vms.node(vm).onResponseStarted(attempt.request(), group.nowNs()));
    }
  }

  private void kill(Attempt attempt, Call call) {
    if (isUnderWay(attempt)) {
      harmOf(call).endsNs.add(group.nowNs());
      attempt.engine().ifPresent(this::endEngine);
    }
  }

  /** Ends an engine with all that it holds; its next life has another id. */
  private void endEngine(BatchEngine engine) {
    for (long request : engine.end()) {
      Attempt attempt = attempts.get(request);
      later(SOON_MS, () -> end(attempt, AttemptOutcome.BROKEN));
    }
    engines.remove(engine);
    int life = Math.toIntExact(group.nowNs() / NS_PER_MS);
    BatchEngine next = new BatchEngine(engine.site(), life, engine.registration().service());
    later(
        BACK_AFTER_MS,
        () -> {
          engines.add(next);
          beat(next);
        });
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

  private Harm harmOf(Call call) {
    return harm.computeIfAbsent(call.content(), content -> new Harm());
  }

  private void heartbeats() {
    List.copyOf(engines).forEach(this::beat);
    later(HEARTBEAT_EVERY_MS, this::heartbeats);
  }

  private void beat(BatchEngine engine) {
    if (heartbeatsLost) {
      return;
    }
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
