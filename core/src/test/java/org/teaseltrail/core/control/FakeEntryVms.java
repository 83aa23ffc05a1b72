package org.teaseltrail.core.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardNode;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.forward.ForwardSettings;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.relay.ProbeKind;
import org.teaseltrail.core.relay.ProbeResult;
import org.teaseltrail.core.relay.RelaySettings;
import org.teaseltrail.core.replication.Member;

/**
 * Runs entry VMs that place requests by themselves together with a control group, in its virtual
 * time. Actions other than messages to members go to the test's executor.
 */
final class FakeEntryVms {

  private static final long NS_PER_MS = 1_000_000L;
  private static final long PROBE_NS = 1_000_000L;

  /** Time after a start in which a VM's code is cold. */
  private static final long COLD_NS = 1_000 * NS_PER_MS;

  /** Time for which a connection has to stay open for its probe to pass. */
  private static final long STAY_OPEN_NS = 50_000_000L;

  /** Executes a VM's actions towards upstreams and callers. */
  interface ActionExecutor {
    void execute(int vm, ForwardAction action);
  }

  /** Decides which messages between a VM and the control members arrive. */
  interface MessageFilter {
    /** Returns whether a message arrives: a message to a member, or a member's reply. */
    boolean arrives(int vm, Object message);
  }

  /** What happens to a VM, which it answers with actions. */
  interface Input extends Function<ForwardNode, List<ForwardAction>> {}

  /** Determines the result of a probe, which the VM learns as late as from sockets. */
  interface ProbeHandler {
    ProbeResult probe(int vm, ForwardAction.Probe probe);

    /** Returns the time that a probe takes, in nanoseconds. */
    default long durationNs(int vm, ForwardAction.Probe probe, ProbeResult result) {
      boolean isWatched = probe.kind() == ProbeKind.CONNECT && result != ProbeResult.FAILED;
      return isWatched ? STAY_OPEN_NS : PROBE_NS;
    }
  }

  private final FakeControlGroup group;
  private final SplittableRandom random;
  private final ContentionSettings contention;
  private final ActionExecutor shell;
  private final List<ForwardNode> nodes = new ArrayList<>();
  private final long[] incarnations;
  private final boolean[] partitioned;
  private final boolean[] stopped;
  private final long[] startedNs;
  private final long[] busyUntilNs;
  private final long[] suspendedUntilNs;
  private final List<Deque<Input>> inputs = new ArrayList<>();
  private int coldActionMs;
  private Function<Integer, RelaySettings> relays = vm -> RelaySettings.OFF;
  private MessageFilter filter = (vm, message) -> true;
  private ProbeHandler prober = (vm, probe) -> ProbeResult.ANSWERED;

  FakeEntryVms(
      FakeControlGroup group, int count, SplittableRandom random, ActionExecutor executor) {
    this(group, count, random, group.settings().contention(), executor);
  }

  /** Creates VMs with the given features. */
  FakeEntryVms(
      FakeControlGroup group,
      int count,
      SplittableRandom random,
      ContentionSettings contention,
      ActionExecutor executor) {
    this.group = group;
    this.random = random;
    this.contention = contention;
    this.shell = executor;
    incarnations = new long[count];
    partitioned = new boolean[count];
    stopped = new boolean[count];
    startedNs = new long[count];
    busyUntilNs = new long[count];
    suspendedUntilNs = new long[count];
  }

  /** Lets VMs take part in relays. */
  void useRelays(Function<Integer, RelaySettings> settings) {
    relays = settings;
  }

  /** Sets which messages arrive; without it all do. */
  void useFilter(MessageFilter messageFilter) {
    filter = messageFilter;
  }

  /** Sets how probes end; without it all find a path. */
  void useProber(ProbeHandler handler) {
    prober = handler;
  }

  /** Makes each action of a VM that has just started take time; without it none does. */
  void useColdStarts(int actionMs) {
    coldActionMs = actionMs;
  }

  /** Starts all VMs; the executor must be ready. */
  void start() {
    group.listenRestarts(this::connectAll);
    for (int vm = 0; vm < incarnations.length; vm++) {
      nodes.add(null);
      inputs.add(new ArrayDeque<>());
      restart(vm);
    }
  }

  int count() {
    return incarnations.length;
  }

  ForwardNode node(int vm) {
    return nodes.get(vm);
  }

  /** Returns the incarnation of a VM's process, starting with 1. */
  long incarnation(int vm) {
    return incarnations[vm];
  }

  /** Ends a VM's process until it is restarted. */
  void stop(int vm) {
    incarnations[vm]++;
    stopped[vm] = true;
  }

  boolean isRunning(int vm) {
    return !stopped[vm];
  }

  /**
   * Suspends a VM's process: what happens to it meanwhile waits, and is handled all at once when it
   * goes on, on a clock that has jumped.
   */
  void suspend(int vm, int lengthMs) {
    long untilNs = group.nowNs() + lengthMs * NS_PER_MS;
    suspendedUntilNs[vm] = untilNs;
    busyUntilNs[vm] = Math.max(busyUntilNs[vm], untilNs);
    long incarnation = incarnations[vm];
    group.after(
        lengthMs * NS_PER_MS,
        () -> {
          if (incarnation == incarnations[vm]) {
            handleNext(vm);
          }
        });
  }

  boolean isSuspended(int vm) {
    return group.nowNs() < suspendedUntilNs[vm];
  }

  /** Starts a VM without state. */
  void restart(int vm) {
    incarnations[vm]++;
    stopped[vm] = false;
    startedNs[vm] = group.nowNs();
    busyUntilNs[vm] = 0;
    suspendedUntilNs[vm] = 0;
    inputs.get(vm).clear();
    List<VmId> members =
        group.members().stream().map(FakeControlMember::member).map(Member::vm).toList();
    ForwardSettings settings =
        ForwardSamples.settings(
            name(vm), incarnations[vm], members, random.nextLong(), contention, relays.apply(vm));
    nodes.set(vm, new ForwardNode(settings));
    long incarnation = incarnations[vm];
    group.listenServing(
        name(vm),
        reply -> {
          if (incarnation == incarnations[vm] && !partitioned[vm] && filter.arrives(vm, reply)) {
            handle(vm, node -> node.onControlMessage(reply, group.nowNs()));
          }
        });
    execute(vm, nodes.get(vm).start());
  }

  /** Partitions a VM from all members, or reconnects it. */
  void setPartitioned(int vm, boolean isPartitioned) {
    partitioned[vm] = isPartitioned;
    if (!isPartitioned) {
      group.members().forEach(member -> connect(vm, member.member().vm()));
    }
  }

  private void connectAll(VmId member) {
    for (int vm = 0; vm < incarnations.length; vm++) {
      connect(vm, member);
    }
  }

  private void connect(int vm, VmId member) {
    if (!partitioned[vm] && !stopped[vm]) {
      group.connect(name(vm), member);
      handle(vm, node -> node.onMemberConnected(member, group.nowNs()));
    }
  }

  /** Runs the VMs whose wake-up time has come. */
  void tick() {
    for (int vm = 0; vm < incarnations.length; vm++) {
      boolean isFree = !stopped[vm] && group.nowNs() >= busyUntilNs[vm];
      if (isFree && group.nowNs() >= nodes.get(vm).nextWakeupNs()) {
        handle(vm, node -> node.tick(group.nowNs()));
      }
    }
  }

  /** Lets a VM handle what happens to it, as soon as it has carried out its earlier actions. */
  void handle(int vm, Input input) {
    inputs.get(vm).add(input);
    handleNext(vm);
  }

  private void handleNext(int vm) {
    Deque<Input> waiting = inputs.get(vm);
    while (!waiting.isEmpty() && group.nowNs() >= busyUntilNs[vm]) {
      List<ForwardAction> actions = waiting.poll().apply(nodes.get(vm));
      long costNs = costNs(vm, actions);
      if (costNs == 0) {
        execute(vm, actions);
      } else {
        busyUntilNs[vm] = group.nowNs() + costNs;
        executeLater(vm, actions, costNs);
      }
    }
  }

  private long costNs(int vm, List<ForwardAction> actions) {
    boolean isCold = group.nowNs() - startedNs[vm] < COLD_NS;
    return isCold ? actions.size() * coldActionMs * NS_PER_MS : 0;
  }

  private void executeLater(int vm, List<ForwardAction> actions, long delayNs) {
    long incarnation = incarnations[vm];
    group.after(
        delayNs,
        () -> {
          if (incarnation == incarnations[vm]) {
            execute(vm, actions);
            handleNext(vm);
          }
        });
  }

  void execute(int vm, List<ForwardAction> actions) {
    for (ForwardAction action : actions) {
      if (action instanceof ForwardAction.SendControl send) {
        sendControl(vm, send);
      } else if (action instanceof ForwardAction.Probe probe) {
        endProbe(vm, incarnations[vm], probe);
      } else {
        shell.execute(vm, action);
      }
    }
  }

  private void sendControl(int vm, ForwardAction.SendControl send) {
    if (!partitioned[vm] && filter.arrives(vm, send.message())) {
      group.send(send.member(), send.message());
    }
  }

  private void endProbe(int vm, long incarnation, ForwardAction.Probe probe) {
    ProbeResult result = prober.probe(vm, probe);
    group.after(
        prober.durationNs(vm, probe, result),
        () -> {
          if (incarnation == incarnations[vm]) {
            handle(vm, node -> node.onProbeEnded(probe.upstream().id(), result, group.nowNs()));
          }
        });
  }

  static VmId name(int vm) {
    return new VmId("entry-" + vm);
  }
}
