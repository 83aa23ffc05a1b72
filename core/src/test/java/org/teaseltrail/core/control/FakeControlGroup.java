package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.configuration.ConfigurationChange;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.id.ChangeId;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.replication.EntryPayload;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.core.replication.PeerEnvelope;
import org.teaseltrail.core.replication.RecoveredState;
import org.teaseltrail.core.replication.ReplicaSettings;
import org.teaseltrail.core.replication.Vote;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Runs several control members and entry VMs in virtual time with a latency of 1 ms between each
 * two.
 */
final class FakeControlGroup {

  static final GroupId GROUP = new GroupId("test");

  private static final long LATENCY_NS = 1_000_000L;
  private static final long NS_PER_MS = 1_000_000L;

  private record ScheduledStep(long atNs, long order, Runnable step) {}

  private final PriorityQueue<ScheduledStep> steps =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledStep::atNs).thenComparingLong(ScheduledStep::order));
  private final SplittableRandom random = new SplittableRandom(11);
  private final MemoryCodec codec = new MemoryCodec();
  private final List<FakeControlMember> members = new ArrayList<>();

  /** Entry VM that receives the messages of members. */
  interface Listener {
    void received(FakeControlMember from, ControlMessage message);
  }

  /** Entry VM that places requests by itself and receives the replies of members. */
  interface ServingListener {
    void received(ServingReply reply);
  }

  private final Map<VmId, Listener> entryVms = new HashMap<>();
  private final Map<VmId, ServingListener> servingVms = new HashMap<>();
  private final List<Consumer<VmId>> restartListeners = new ArrayList<>();
  private final Map<Long, OperatorResult> replies = new HashMap<>();
  private final ReplicaSettings replicaSettings;
  private ControlSettings settings = ControlSettings.DEFAULT;
  private boolean repliesLost;
  private long nowNs = 1;
  private long order;
  private long lastCallId;

  FakeControlGroup(int size) {
    this(size, ReplicaSettings.defaults());
  }

  FakeControlGroup(int size, ReplicaSettings replicaSettings) {
    this.replicaSettings = replicaSettings;
    List<Member> voters = new ArrayList<>();
    for (int i = 1; i <= size; i++) {
      voters.add(new Member(new MemberId("c" + i), new VmId("control-" + i)));
    }
    LogEntry first =
        new LogEntry(1, 0, new EntryPayload.MembershipPayload(new Membership(voters, List.of())));
    for (Member voter : voters) {
      RecoveredState initial = new RecoveredState(Vote.none(), Optional.empty(), List.of(first));
      members.add(new FakeControlMember(this, voter, initial));
    }
  }

  /** Starts a member with an empty disk that requests to join the group, as its process does. */
  FakeControlMember join(String id, String vm) {
    Member member = new Member(new MemberId(id), new VmId(vm));
    FakeControlMember joining = new FakeControlMember(this, member, RecoveredState.empty());
    members.add(joining);
    joining.start(replicaSettings);
    askToJoin(joining);
    return joining;
  }

  /**
   * Sends a join request to all members every 300 ms, since any of them may lead, until the member
   * is killed.
   */
  private void askToJoin(FakeControlMember joining) {
    if (joining.control() == null) {
      return;
    }
    for (FakeControlMember member : List.copyOf(members)) {
      if (member != joining && !member.isPartitioned() && !joining.isPartitioned()) {
        member.handle(new ControlEvent.MemberJoins(joining.member()));
      }
    }
    after(300 * NS_PER_MS, () -> askToJoin(joining));
  }

  FakeControlGroup start() {
    members.forEach(member -> member.start(replicaSettings));
    return this;
  }

  void useSettings(ControlSettings newSettings) {
    settings = newSettings;
  }

  /** Uses the default settings with these features. */
  void useContention(ContentionSettings contention) {
    ControlSettings usual = ControlSettings.DEFAULT;
    settings =
        new ControlSettings(
            usual.sessions(),
            usual.claims(),
            usual.claimExpiryIntervalMs(),
            usual.placement(),
            usual.seed(),
            usual.quotas(),
            usual.rollouts(),
            contention,
            usual.repair());
  }

  /** Uses the default settings with the automatic repair of the membership. */
  void useRepair(int toleratedLosses) {
    ControlSettings usual = ControlSettings.DEFAULT;
    settings =
        new ControlSettings(
            usual.sessions(),
            usual.claims(),
            usual.claimExpiryIntervalMs(),
            usual.placement(),
            usual.seed(),
            usual.quotas(),
            usual.rollouts(),
            usual.contention(),
            Optional.of(RepairSettings.tolerating(toleratedLosses)));
  }

  ControlSettings settings() {
    return settings;
  }

  MemoryCodec codec() {
    return codec;
  }

  RandomGenerator random() {
    return random.split();
  }

  long nowNs() {
    return nowNs;
  }

  List<FakeControlMember> members() {
    return members;
  }

  RecordingEntryVm entry(String vm) {
    RecordingEntryVm entry = new RecordingEntryVm(this, new VmId(vm));
    listen(entry.vm(), entry);
    return entry;
  }

  void listen(VmId vm, Listener listener) {
    entryVms.put(vm, listener);
  }

  void listenServing(VmId vm, ServingListener listener) {
    servingVms.put(vm, listener);
  }

  /** Registers who is told when entry VMs can connect to a member that has started again. */
  void listenRestarts(Consumer<VmId> listener) {
    restartListeners.add(listener);
  }

  void restart(FakeControlMember member) {
    member.start(replicaSettings);
    after(
        LATENCY_NS,
        () -> restartListeners.forEach(listener -> listener.accept(member.member().vm())));
  }

  void after(long delayNs, Runnable step) {
    steps.add(new ScheduledStep(nowNs + delayNs, ++order, step));
  }

  void run(long ms) {
    long endNs = nowNs + ms * NS_PER_MS;
    while (!steps.isEmpty() && steps.peek().atNs() <= endNs) {
      ScheduledStep due = steps.poll();
      nowNs = due.atNs();
      due.step().run();
    }
    nowNs = endNs;
  }

  /** Runs until one member serves, which must happen within two seconds. */
  FakeControlMember leader() {
    for (int i = 0; i < 200; i++) {
      for (FakeControlMember member : members) {
        if (member.isServing()) {
          return member;
        }
      }
      run(10);
    }
    throw new AssertionError("no leader within two seconds");
  }

  void sendPeer(FakeControlMember from, PeerEnvelope envelope) {
    for (FakeControlMember member : members) {
      if (member.member().id().equals(envelope.to())
          && !from.isPartitioned()
          && !member.isPartitioned()) {
        after(LATENCY_NS, () -> member.handle(new ControlEvent.FromPeer(envelope)));
      }
    }
  }

  /** Delivers a VM's message to a member. */
  void send(VmId vm, FakeControlMember member, EntryMessage message) {
    after(LATENCY_NS, () -> member.handle(new ControlEvent.FromEntry(vm, message)));
  }

  /** Delivers a message of a VM that places requests by itself to a member. */
  void send(VmId member, ServingMessage message) {
    for (FakeControlMember one : members) {
      if (one.member().vm().equals(member)) {
        after(LATENCY_NS, () -> one.handle(new ControlEvent.FromServingVm(message)));
      }
    }
  }

  /** Opens a connection of a VM that places requests by itself to a member. */
  void connect(VmId vm, VmId member) {
    members.stream()
        .filter(one -> one.member().vm().equals(member))
        .forEach(one -> one.handle(new ControlEvent.ServingVmConnected(vm)));
  }

  void onAction(FakeControlMember from, ControlAction action) {
    if (action instanceof ControlAction.SendToEntryVm send) {
      assertThat(from.control().isLeaseValid(nowNs)).isTrue();
      Listener entry = entryVms.get(send.vm());
      if (entry != null) {
        after(LATENCY_NS, () -> entry.received(from, send.message()));
      }
    } else if (action instanceof ControlAction.SendToServingVm send) {
      ServingListener entry = servingVms.get(send.vm());
      if (entry != null) {
        after(LATENCY_NS, () -> entry.received(send.reply()));
      }
    } else if (action instanceof ControlAction.Reply reply && !repliesLost) {
      replies.put(reply.callId(), reply.result());
    }
  }

  void dropReplies(boolean dropped) {
    repliesLost = dropped;
  }

  /** Calls a member and runs for 200 ms; returns null if the member has not replied. */
  OperatorResult call(FakeControlMember member, OperatorRequest request) {
    long callId = call(member, request, 200);
    return replies.get(callId);
  }

  long call(FakeControlMember member, OperatorRequest request, long runMs) {
    long callId = ++lastCallId;
    member.handle(new ControlEvent.OperatorCall(callId, request));
    run(runMs);
    return callId;
  }

  OperatorResult reply(long callId) {
    return replies.get(callId);
  }

  OperatorResult change(
      FakeControlMember member, String id, long expected, ConfigurationChange... items) {
    return call(
        member,
        new OperatorRequest.Change(
            new ChangeId(id), Optional.of(new Revision(expected)), List.of(items)));
  }
}
