package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.forward.RefusalReason;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quarantine.RequestContent;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.relay.ProbeKind;
import org.teaseltrail.core.relay.ProbeResult;
import org.teaseltrail.core.relay.RelayOutcome;
import org.teaseltrail.core.relay.RelaySettings;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * Simulates, in virtual time, entry VMs of which some are partitioned from all upstreams while
 * callers, control members and the other VMs reach them. Six engines serve streams and three plain
 * upstreams serve short requests; each VM keeps open connections to them.
 */
final class PathLossSimulation {

  private static final long NS_PER_MS = 1_000_000L;

  /** Number of engines, which come before the plain upstreams. */
  static final int ENGINES = 6;

  private static final int ENGINE_SLOTS = 8;
  private static final int ENGINE_MS = 400;
  private static final int PLAIN = 3;
  private static final int PLAIN_SLOTS = 8;
  private static final int PLAIN_MS = 60;
  private static final int HEARTBEAT_EVERY_MS = 1_200;
  private static final int FIRST_EVENT_MS = 60;
  private static final int RESET_MS = 2;
  private static final int CONNECT_TIMEOUT_MS = 400;
  private static final int PROBE_CONNECT_TIMEOUT_MS = 1_000;
  private static final int TCP_TIMEOUT_MS = 3_000;
  private static final int IDLE_TIMEOUT_MS = 4_000;
  private static final int DEADLINE_MS = 4_000;
  private static final int MIN_SLOW_CONNECT_MS = 300;
  private static final int SLOW_CONNECT_RANGE_MS = 500;
  private static final String[] PATHS = {"/stream/x", "/resumable/x", "/safe/x", "/unsafe/x"};

  /** Attempt of one incarnation of a VM at an upstream, with the id that its caller gave. */
  private record Attempt(int vm, long incarnation, long request, String id, UpstreamId upstream) {}

  /** A caller's first try: where it was sent, and when. */
  private record Call(int vm, long atNs, boolean idempotent) {}

  /** A relay of one incarnation of a VM to one incarnation of a peer. */
  private record Hop(int vm, long incarnation, long request, int peer, long peerIncarnation) {}

  /** First tries, and those of them that were served. */
  record Tally(int asked, int served) {
    double share() {
      return asked == 0 ? 1 : (double) served / asked;
    }
  }

  private final FakeControlGroup group = new FakeControlGroup(3);
  private final SplittableRandom random;
  private final FakeEntryVms vms;
  private final Map<UpstreamId, Registration> upstreams =
      new TreeMap<>(Comparator.comparing(UpstreamId::value));
  private final Map<UpstreamId, Integer> running = new HashMap<>();
  private final Map<UpstreamId, List<Attempt>> queued = new HashMap<>();
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private final Map<String, List<Long>> idleSinceNs = new HashMap<>();
  private final Map<String, Call> calls = new HashMap<>();
  private final Map<Long, String> ids = new HashMap<>();
  private final Map<String, Integer> runs = new HashMap<>();
  private final Set<String> served = new HashSet<>();
  private final Set<String> refusedAsNotRun = new HashSet<>();
  private final Map<Integer, Cut> cuts = new HashMap<>();
  private final Map<String, String> paths = new HashMap<>();
  private final Map<Long, Hop> hops = new HashMap<>();
  private final Map<Hop, Long> hopNumbers = new HashMap<>();
  private final Map<Long, Long> peerNumbers = new HashMap<>();
  private final Map<Long, RefusalReason> refusals = new HashMap<>();
  private final Map<Integer, Map<RefusalReason, Integer>> refusalsByVm = new HashMap<>();
  private boolean heartbeatsLost;
  private long lastConnectMs;
  private int probes;
  private int relayed;
  private long lastNumber;

  PathLossSimulation(long seed, int vmCount, ContentionSettings contention) {
    random = new SplittableRandom(seed);
    group.start();
    group.call(
        group.leader(),
        new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    for (int i = 0; i < ENGINES; i++) {
      add(ForwardSamples.upstream("e" + i, TestPlans.ENGINES, ENGINE_SLOTS));
    }
    for (int i = 0; i < PLAIN; i++) {
      add(ForwardSamples.upstream("p" + i, TestPlans.PLAIN, PLAIN_SLOTS));
    }
    vms = new FakeEntryVms(group, vmCount, random, contention, this::execute);
    vms.useRelays(PathLossSimulation::relaySettings);
    vms.useProber(
        new FakeEntryVms.ProbeHandler() {
          @Override
          public ProbeResult probe(int vm, ForwardAction.Probe probe) {
            probes++;
            return PathLossSimulation.this.probe(vm, probe);
          }

          @Override
          public long durationNs(int vm, ForwardAction.Probe probe, ProbeResult result) {
            return switch (probedEffect(vm, probe)) {
              case SLOW -> lastConnectMs * NS_PER_MS;
              case HANG -> PROBE_CONNECT_TIMEOUT_MS * NS_PER_MS;
              default -> FakeEntryVms.ProbeHandler.super.durationNs(vm, probe, result);
            };
          }
        });
    vms.start();
    sendHeartbeats();
  }

  private static RelaySettings relaySettings(int vm) {
    return new RelaySettings(
        Optional.of(new SocketAddress("10.0.1." + vm, 7601)),
        Optional.of(new DataCenterId(vm % 2 == 0 ? "a" : "b")));
  }

  private void add(Registration upstream) {
    upstreams.put(upstream.id(), upstream);
    queued.put(upstream.id(), new ArrayList<>());
  }

  FakeControlGroup group() {
    return group;
  }

  FakeEntryVms vms() {
    return vms;
  }

  /** Advances the time while callers send requests at a rate, spread evenly over all VMs. */
  void simulate(int lengthMs, double perSecond) {
    for (int ms = 0; ms < lengthMs; ms++) {
      group.run(1);
      vms.tick();
      if (random.nextDouble() < perSecond / 1_000) {
        call(random.nextInt(vms.count()));
      }
    }
  }

  /** Partitions a VM from all upstreams. */
  void cut(int vm, Cut cut) {
    cuts.put(vm, cut);
    for (Attempt attempt : List.copyOf(attempts.values())) {
      if (attempt.vm() == vm) {
        applyTo(attempt, cut.onOpenConnection().at(indexOf(attempt.upstream())));
      }
    }
  }

  /** Ends a VM's partition; connections that hang stay so. */
  void heal(int vm) {
    cuts.remove(vm);
  }

  /** Returns the first tries that arrived in a time span, at VMs that are or aren't listed. */
  Tally tally(Set<Integer> listed, boolean atListed, long fromNs, long toNs) {
    int asked = 0;
    int answered = 0;
    for (Map.Entry<String, Call> entry : calls.entrySet()) {
      Call call = entry.getValue();
      if (call.atNs() >= fromNs && call.atNs() < toNs && listed.contains(call.vm()) == atListed) {
        asked++;
        answered += served.contains(entry.getKey()) ? 1 : 0;
      }
    }
    return new Tally(asked, answered);
  }

  /** Returns the number of requests that have no final answer yet. */
  int openRequests() {
    int open = 0;
    for (int vm = 0; vm < vms.count(); vm++) {
      open += vms.node(vm).openRequests();
    }
    return open;
  }

  /** Returns the ids of non-idempotent requests that ran more than once. */
  List<String> ranTwice() {
    return runs.entrySet().stream()
        .filter(entry -> entry.getValue() > 1 && !calls.get(entry.getKey()).idempotent())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the ids of requests that callers were told had not run, and that ran. */
  List<String> ranThoughRefused() {
    return refusedAsNotRun.stream().filter(runs::containsKey).toList();
  }

  private void call(int vm) {
    String path = PATHS[random.nextInt(PATHS.length)];
    boolean idempotent = path.startsWith("/safe") || path.startsWith("/resumable");
    long number = ++lastNumber;
    String id = "id-" + number;
    calls.put(id, new Call(vm, group.nowNs(), idempotent));
    ids.put(number, id);
    paths.put(id, path);
    vms.execute(vm, vms.node(vm).onRequest(request(number, id, path), group.nowNs()));
  }

  private static ForwardRequest request(long number, String id, String path) {
    return new ForwardRequest(
        number,
        id,
        TestPlans.HOST,
        path,
        Optional.of(TestPlans.KEY),
        OptionalLong.of(DEADLINE_MS),
        OptionalInt.of(500),
        OptionalInt.of(100),
        List.of(),
        RequestContent.EMPTY);
  }

  /** Returns how often a VM refused requests of its own callers, by reason. */
  Map<RefusalReason, Integer> refusalsAt(int vm) {
    return refusalsByVm.getOrDefault(vm, Map.of());
  }

  /** Drops all heartbeats of the upstreams, or lets them through again. */
  void dropHeartbeats(boolean areLost) {
    heartbeatsLost = areLost;
  }

  private void execute(int vm, ForwardAction action) {
    if (action instanceof ForwardAction.Dispatch dispatch) {
      dispatch(vm, dispatch);
    } else if (action instanceof ForwardAction.Cancel cancel) {
      cancel(cancel.request());
    } else if (action instanceof ForwardAction.Deliver deliver) {
      deliver(deliver.request());
    } else if (action instanceof ForwardAction.Refuse refuse) {
      refuse(vm, refuse);
    } else if (action instanceof ForwardAction.PathChanged change) {
      change.upstreams().forEach(upstream -> idleSinceNs.remove(vm + "/" + upstream.id().value()));
    } else if (action instanceof ForwardAction.Relay relay) {
      relay(vm, relay);
    }
  }

  /** Cancels an attempt, or a relay whose end the peer learns 1 ms later. */
  private void cancel(long number) {
    Optional.ofNullable(attempts.remove(number)).ifPresent(this::leave);
    hopNumbers.keySet().stream()
        .filter(hop -> hop.request() == number)
        .findFirst()
        .ifPresent(this::cancelAtPeer);
  }

  private void cancelAtPeer(Hop hop) {
    long number = hopNumbers.remove(hop);
    hops.remove(number);
    later(
        1,
        () -> {
          if (hop.peerIncarnation() == vms.incarnation(hop.peer())) {
            vms.execute(
                hop.peer(), vms.node(hop.peer()).onCallerDisconnected(number, group.nowNs()));
          }
        });
  }

  private void deliver(long number) {
    Hop hop = hops.remove(number);
    if (hop != null) {
      endRelay(hop, RelayOutcome.ANSWERED);
      return;
    }
    RefusalReason refusal = refusals.remove(peerNumber(number));
    if (refusal == null) {
      served.add(ids.get(number));
    } else if (!refusal.maybeRan()) {
      refusedAsNotRun.add(ids.get(number));
    }
  }

  private long peerNumber(long number) {
    return peerNumbers.getOrDefault(number, -1L);
  }

  private void refuse(int vm, ForwardAction.Refuse refuse) {
    boolean isFromPeer = hops.containsKey(refuse.request());
    if (!isFromPeer) {
      refusalsByVm
          .computeIfAbsent(vm, key -> new EnumMap<>(RefusalReason.class))
          .merge(refuse.refusalReason(), 1, Integer::sum);
    }
    if (isFromPeer) {
      RelayOutcome outcome = refuse.refusalReason().relayOutcome();
      if (!outcome.needsOtherPeer()) {
        refusals.put(refuse.request(), refuse.refusalReason());
      }
      endRelay(hops.remove(refuse.request()), outcome);
    } else if (!refuse.refusalReason().maybeRan()) {
      refusedAsNotRun.add(ids.get(refuse.request()));
    }
  }

  /** Passes a request to a peer, 1 ms later, or finds that the peer is gone. */
  private void relay(int vm, ForwardAction.Relay relay) {
    int peer = indexOf(relay.peer().vm());
    Hop hop = new Hop(vm, vms.incarnation(vm), relay.request(), peer, vms.incarnation(peer));
    relayed++;
    later(
        1,
        () -> {
          if (vms.incarnation(peer) != hop.peerIncarnation()) {
            endRelay(hop, RelayOutcome.NOT_CONNECTED);
            return;
          }
          long number = ++lastNumber;
          String id = ids.get(relay.request());
          ids.put(number, id);
          hops.put(number, hop);
          hopNumbers.put(hop, number);
          peerNumbers.put(relay.request(), number);
          vms.execute(
              peer,
              vms.node(peer)
                  .onRelayedRequest(
                      request(number, id, paths.get(id)), relay.hop(), group.nowNs()));
        });
  }

  private void endRelay(Hop hop, RelayOutcome outcome) {
    hopNumbers.remove(hop);
    later(
        1,
        () -> {
          if (hop.incarnation() == vms.incarnation(hop.vm())) {
            vms.execute(
                hop.vm(), vms.node(hop.vm()).onRelayEnded(hop.request(), outcome, group.nowNs()));
          }
        });
  }

  private int indexOf(VmId vm) {
    for (int i = 0; i < vms.count(); i++) {
      if (FakeEntryVms.name(i).equals(vm)) {
        return i;
      }
    }
    throw new IllegalArgumentException("no VM " + vm);
  }

  private int indexOf(UpstreamId upstream) {
    return List.copyOf(upstreams.keySet()).indexOf(upstream);
  }

  /** Kills a VM's process and starts it again: its requests and connections are lost. */
  void restart(int vm) {
    for (Attempt attempt : List.copyOf(attempts.values())) {
      if (attempt.vm() == vm) {
        attempts.remove(attempt.request());
        leave(attempt);
      }
    }
    vms.restart(vm);
    for (Map.Entry<Long, Hop> entry : List.copyOf(hops.entrySet())) {
      if (entry.getValue().peer() == vm) {
        hops.remove(entry.getKey());
        endRelay(entry.getValue(), RelayOutcome.BROKEN);
      }
    }
  }

  /** Returns the number of probes so far. */
  int probes() {
    return probes;
  }

  /** Returns the number of requests that were relayed so far. */
  int relayed() {
    return relayed;
  }

  private ProbeResult probe(int vm, ForwardAction.Probe probe) {
    return switch (probedEffect(vm, probe)) {
      case NONE -> ProbeResult.ANSWERED;
      case UNANSWERED -> ProbeResult.CONNECTED;
      case SLOW ->
          drawConnectMs() > PROBE_CONNECT_TIMEOUT_MS ? ProbeResult.FAILED : ProbeResult.ANSWERED;
      case ACCEPTED_RESET ->
          probe.kind() == ProbeKind.ANSWER ? ProbeResult.CONNECTED : ProbeResult.FAILED;
      default -> ProbeResult.FAILED;
    };
  }

  private void dispatch(int vm, ForwardAction.Dispatch dispatch) {
    Attempt attempt =
        new Attempt(
            vm,
            vms.incarnation(vm),
            dispatch.request(),
            ids.get(dispatch.request()),
            dispatch.upstream().id());
    attempts.put(attempt.request(), attempt);
    boolean isOpen = takeIdleConnection(attempt);
    Cut cut = cuts.get(vm);
    Cut.Effect effect =
        cut == null ? Cut.Effect.NONE : effect(cut, isOpen).at(indexOf(attempt.upstream()));
    if (effect == Cut.Effect.NONE) {
      if (!isOpen) {
        vms.node(vm).onUpstreamConnected(attempt.upstream(), group.nowNs());
      }
      later(isOpen ? 1 : 2, () -> arrive(attempt));
    } else if (isOpen) {
      applyTo(attempt, effect);
    } else {
      connect(attempt, effect);
    }
  }

  private static Cut.Effect effect(Cut cut, boolean isOpen) {
    return isOpen ? cut.onOpenConnection() : cut.onNewConnection();
  }

  private void connect(Attempt attempt, Cut.Effect effect) {
    switch (effect) {
      case RESET -> endLater(attempt, AttemptOutcome.NOT_CONNECTED, RESET_MS);
      case HANG -> endLater(attempt, AttemptOutcome.NOT_CONNECTED, CONNECT_TIMEOUT_MS);
      case SLOW -> connectSlowly(attempt);
      case ACCEPTED_RESET -> {
        vms.node(attempt.vm()).onUpstreamConnected(attempt.upstream(), group.nowNs());
        endLater(attempt, AttemptOutcome.BROKEN, RESET_MS);
      }
      default -> {
        // The request was sent; nothing ever answers, and no probe of TCP fails.
      }
    }
  }

  private Cut.Effect probedEffect(int vm, ForwardAction.Probe probe) {
    Cut cut = cuts.get(vm);
    return cut == null ? Cut.Effect.NONE : cut.onNewConnection().at(indexOf(probe.upstream().id()));
  }

  private long drawConnectMs() {
    lastConnectMs = MIN_SLOW_CONNECT_MS + random.nextInt(SLOW_CONNECT_RANGE_MS);
    return lastConnectMs;
  }

  private void connectSlowly(Attempt attempt) {
    if (drawConnectMs() > CONNECT_TIMEOUT_MS) {
      endLater(attempt, AttemptOutcome.NOT_CONNECTED, CONNECT_TIMEOUT_MS);
      return;
    }
    later(
        (int) lastConnectMs,
        () -> {
          if (isInFlight(attempt)) {
            vms.node(attempt.vm()).onUpstreamConnected(attempt.upstream(), group.nowNs());
            arrive(attempt);
          }
        });
  }

  /** Applies the effect of a partition to a request on an open connection. */
  private void applyTo(Attempt attempt, Cut.Effect effect) {
    switch (effect) {
      case RESET -> endLater(attempt, AttemptOutcome.BROKEN, RESET_MS);
      case HANG -> endLater(attempt, AttemptOutcome.BROKEN, TCP_TIMEOUT_MS);
      default -> {
        // The connection works on.
      }
    }
  }

  private void arrive(Attempt attempt) {
    if (isInFlight(attempt)) {
      queued.get(attempt.upstream()).add(attempt);
      startQueued(attempt.upstream());
    }
  }

  private void startQueued(UpstreamId upstream) {
    List<Attempt> waiting = queued.get(upstream);
    while (!waiting.isEmpty()
        && running.getOrDefault(upstream, 0) < upstreams.get(upstream).slots()) {
      Attempt attempt = waiting.remove(0);
      running.merge(upstream, 1, Integer::sum);
      runs.merge(attempt.id(), 1, Integer::sum);
      boolean isStream = upstreams.get(upstream).service().equals(TestPlans.ENGINES);
      if (isStream) {
        later(FIRST_EVENT_MS, () -> startResponse(attempt));
      }
      later(isStream ? ENGINE_MS : PLAIN_MS, () -> complete(attempt));
    }
  }

  private void startResponse(Attempt attempt) {
    if (isInFlight(attempt) && isHeard(attempt)) {
      vms.node(attempt.vm()).onUpstreamHeard(attempt.upstream());
      vms.execute(
          attempt.vm(), vms.node(attempt.vm()).onResponseStarted(attempt.request(), group.nowNs()));
    }
  }

  /** Ends the work at the upstream, whether or not the answer arrives. */
  private void complete(Attempt attempt) {
    release(attempt.upstream());
    if (isInFlight(attempt) && isHeard(attempt)) {
      attempts.remove(attempt.request());
      idle(attempt).add(group.nowNs());
      vms.node(attempt.vm()).onUpstreamHeard(attempt.upstream());
      end(attempt, AttemptOutcome.ANSWERED);
    }
  }

  private void release(UpstreamId upstream) {
    running.merge(upstream, -1, Integer::sum);
    startQueued(upstream);
  }

  /** Returns whether answers on an open connection reach the VM. */
  private boolean isHeard(Attempt attempt) {
    Cut cut = cuts.get(attempt.vm());
    return cut == null || cut.onOpenConnection().at(indexOf(attempt.upstream())) == Cut.Effect.NONE;
  }

  /** Handles a request that its VM gave up: the upstream doesn't start it any more. */
  private void leave(Attempt attempt) {
    queued.get(attempt.upstream()).remove(attempt);
  }

  private void endLater(Attempt attempt, AttemptOutcome end, int afterMs) {
    later(
        afterMs,
        () -> {
          if (isInFlight(attempt)) {
            attempts.remove(attempt.request());
            leave(attempt);
            end(attempt, end);
          }
        });
  }

  private void end(Attempt attempt, AttemptOutcome end) {
    int vm = attempt.vm();
    vms.execute(vm, vms.node(vm).onAttemptEnded(attempt.request(), end, group.nowNs()));
  }

  private boolean isInFlight(Attempt attempt) {
    return attempts.get(attempt.request()) == attempt
        && attempt.incarnation() == vms.incarnation(attempt.vm());
  }

  private List<Long> idle(Attempt attempt) {
    return idleSinceNs.computeIfAbsent(
        attempt.vm() + "/" + attempt.upstream().value(), key -> new ArrayList<>());
  }

  /** Uses an idle connection if there is one that is neither too old nor found to be dead. */
  private boolean takeIdleConnection(Attempt attempt) {
    List<Long> idle = idle(attempt);
    idle.removeIf(sinceNs -> group.nowNs() - sinceNs > IDLE_TIMEOUT_MS * NS_PER_MS);
    return !idle.isEmpty() && idle.remove(idle.size() - 1) != null;
  }

  private void sendHeartbeats() {
    for (FakeControlMember member : group.members()) {
      if (member.isServing() && !heartbeatsLost) {
        for (Registration upstream : upstreams.values()) {
          group.call(member, new OperatorRequest.Heartbeat(upstream), 0);
        }
      }
    }
    later(HEARTBEAT_EVERY_MS, this::sendHeartbeats);
  }

  private void later(int ms, Runnable step) {
    group.after(ms * NS_PER_MS, step);
  }
}
