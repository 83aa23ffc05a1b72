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
import java.util.random.RandomGenerator;
import org.teaseltrail.core.configuration.ConfigurationChange;
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
  private final List<FakeControl> members = new ArrayList<>();

  /** Entry VM that receives the messages of members. */
  interface Listener {
    void received(FakeControl from, ControlMessage message);
  }

  /** Entry VM that places requests by itself and receives the replies of members. */
  interface ServingListener {
    void received(ServingReply reply);
  }

  private final Map<VmId, Listener> entryVms = new HashMap<>();
  private final Map<VmId, ServingListener> servingVms = new HashMap<>();
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
      members.add(new FakeControl(this, voter, initial));
    }
  }

  /** Starts a member with an empty disk that requests to join the group, as its process does. */
  FakeControl join(String id, String vm) {
    Member member = new Member(new MemberId(id), new VmId(vm));
    FakeControl joining = new FakeControl(this, member, RecoveredState.empty());
    members.add(joining);
    joining.start(replicaSettings);
    askToJoin(joining);
    return joining;
  }

  /**
   * Sends a join request to all members every 300 ms, since any of them may lead, until the member
   * is killed.
   */
  private void askToJoin(FakeControl joining) {
    if (joining.control() == null) {
      return;
    }
    for (FakeControl member : List.copyOf(members)) {
      if (member != joining && !member.isCut() && !joining.isCut()) {
        member.handle(new ControlEvent.MemberJoins(joining.member()));
      }
    }
    after(300 * NS_PER_MS, () -> askToJoin(joining));
  }

  FakeControlGroup start() {
    members.forEach(member -> member.start(replicaSettings));
    return this;
  }

  void use(ControlSettings newSettings) {
    settings = newSettings;
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

  List<FakeControl> members() {
    return members;
  }

  FakeEntry entry(String vm) {
    FakeEntry entry = new FakeEntry(this, new VmId(vm));
    listen(entry.vm(), entry);
    return entry;
  }

  void listen(VmId vm, Listener listener) {
    entryVms.put(vm, listener);
  }

  void listenServing(VmId vm, ServingListener listener) {
    servingVms.put(vm, listener);
  }

  void restart(FakeControl member) {
    member.start(replicaSettings);
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
  FakeControl leader() {
    for (int i = 0; i < 200; i++) {
      for (FakeControl member : members) {
        if (member.isServing()) {
          return member;
        }
      }
      run(10);
    }
    throw new AssertionError("no leader within two seconds");
  }

  void sendPeer(FakeControl from, PeerEnvelope envelope) {
    for (FakeControl member : members) {
      if (member.member().id().equals(envelope.to()) && !from.isCut() && !member.isCut()) {
        after(LATENCY_NS, () -> member.handle(new ControlEvent.FromPeer(envelope)));
      }
    }
  }

  /** Delivers a VM's message to a member. */
  void say(VmId vm, FakeControl member, EntryMessage message) {
    after(LATENCY_NS, () -> member.handle(new ControlEvent.FromEntry(vm, message)));
  }

  /** Delivers a message of a VM that places requests by itself to a member. */
  void say(VmId member, ServingMessage message) {
    for (FakeControl one : members) {
      if (one.member().vm().equals(member)) {
        after(LATENCY_NS, () -> one.handle(new ControlEvent.FromServingVm(message)));
      }
    }
  }

  void acted(FakeControl from, ControlAction action) {
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

  void loseReplies(boolean lost) {
    repliesLost = lost;
  }

  /** Calls a member and runs for 200 ms; returns null if the member has not replied. */
  OperatorResult ask(FakeControl member, OperatorRequest request) {
    long callId = ask(member, request, 200);
    return replies.get(callId);
  }

  long ask(FakeControl member, OperatorRequest request, long runMs) {
    long callId = ++lastCallId;
    member.handle(new ControlEvent.OperatorCall(callId, request));
    run(runMs);
    return callId;
  }

  OperatorResult reply(long callId) {
    return replies.get(callId);
  }

  OperatorResult change(
      FakeControl member, String id, long expected, ConfigurationChange... items) {
    return ask(
        member,
        new OperatorRequest.Change(
            new ChangeId(id), Optional.of(new Revision(expected)), List.of(items)));
  }
}
