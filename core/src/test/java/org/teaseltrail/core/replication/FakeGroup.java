package org.teaseltrail.core.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;

/**
 * Runs a group of members in virtual time over a simulated network that drops, delays, duplicates
 * and reorders messages.
 */
final class FakeGroup {

  static final GroupId ID = new GroupId("group");
  static final ReplicaSettings SETTINGS =
      new ReplicaSettings(
          50, 500, 50, 600, 900, 8, 64, 4, 200, 100_000, new SnapshotSettings(9, 20, 500, 5));
  static final long MS = 1_000_000L;

  private record ScheduledTask(long atNs, long sequence, Runnable task) {}

  private record Link(MemberId from, MemberId to) {}

  private final SplittableRandom random;
  private final ReplicaSettings settings;
  private final GroupHistoryChecker history = new GroupHistoryChecker();
  private final PriorityQueue<ScheduledTask> queue =
      new PriorityQueue<>(
          (a, b) ->
              a.atNs() != b.atNs()
                  ? Long.compare(a.atNs(), b.atNs())
                  : Long.compare(a.sequence(), b.sequence()));
  private final Map<MemberId, FakeMember> members = new LinkedHashMap<>();
  private final List<FakeMember> allStarted = new ArrayList<>();
  private final Set<Link> cutLinks = new HashSet<>();
  private long nowNs;
  private long sequence;
  private long proposals;
  private int lossPercent;
  private long bytesPerMs = Long.MAX_VALUE;
  private final Map<MemberId, Long> busyUntilNs = new HashMap<>();
  private int stateBytes = 40;
  private final Map<MemberId, Long> extraDelaysNs = new HashMap<>();
  private int startedCount;

  FakeGroup(long seed, int voters) {
    this(seed, voters, SETTINGS);
  }

  FakeGroup(long seed, int voters, ReplicaSettings settings) {
    this.random = new SplittableRandom(seed);
    this.settings = settings;
    List<Member> founders = new ArrayList<>();
    for (int i = 0; i < voters; i++) {
      founders.add(newMember("c" + i));
    }
    LogEntry first =
        new LogEntry(1, 0, new EntryPayload.MembershipPayload(new Membership(founders, List.of())));
    RecoveredState initial = new RecoveredState(Vote.none(), Optional.empty(), List.of(first));
    founders.forEach(founder -> start(founder, initial));
  }

  Member newMember(String vm) {
    startedCount++;
    return new Member(new MemberId(vm + "-" + startedCount), new VmId(vm));
  }

  FakeMember start(Member member, RecoveredState initial) {
    FakeMember started = new FakeMember(this, member, initial);
    members.put(member.id(), started);
    allStarted.add(started);
    return started;
  }

  /** Removes a member permanently, together with its disk. */
  void destroy(FakeMember member) {
    member.crash();
    members.remove(member.id());
  }

  ReplicaSettings settings() {
    return settings;
  }

  SplittableRandom random() {
    return random;
  }

  GroupHistoryChecker history() {
    return history;
  }

  Collection<FakeMember> members() {
    return members.values();
  }

  /**
   * Returns all members ever started, including those whose disks are lost, because they were part
   * of earlier quorums.
   */
  Collection<FakeMember> allStarted() {
    return allStarted;
  }

  FakeMember member(int position) {
    return new ArrayList<>(members.values()).get(position);
  }

  FakeMember anyExcept(FakeMember... excluded) {
    return members.values().stream()
        .filter(member -> !List.of(excluded).contains(member))
        .findFirst()
        .orElseThrow();
  }

  FakeMember anyMember() {
    return member(random.nextInt(members.size()));
  }

  Optional<FakeMember> leader() {
    return members.values().stream().filter(FakeMember::isLeaseValid).findFirst();
  }

  long nowNs() {
    return nowNs;
  }

  void setLossPercent(int percent) {
    lossPercent = percent;
  }

  /** Limits how fast each member takes in log entries and snapshots. */
  void setPace(long newBytesPerMs) {
    bytesPerMs = newBytesPerMs;
  }

  void setStateBytes(int bytes) {
    stateBytes = bytes;
  }

  int stateBytes() {
    return stateBytes;
  }

  /** Adds latency to all messages from and to a member. */
  void setExtraDelay(FakeMember member, long extraNs) {
    extraDelaysNs.put(member.id(), extraNs);
  }

  void cutLink(FakeMember from, FakeMember to) {
    cutLinks.add(new Link(from.id(), to.id()));
  }

  void isolate(FakeMember member) {
    for (FakeMember other : members.values()) {
      cutLink(member, other);
      cutLink(other, member);
    }
  }

  void heal() {
    cutLinks.clear();
  }

  void runAfter(long delayNs, Runnable task) {
    queue.add(new ScheduledTask(nowNs + delayNs, sequence++, task));
  }

  void send(PeerEnvelope envelope) {
    boolean lost =
        cutLinks.contains(new Link(envelope.from(), envelope.to()))
            || random.nextInt(100) < lossPercent;
    if (lost) {
      return;
    }
    scheduleDelivery(envelope);
    if (random.nextInt(100) < lossPercent) {
      scheduleDelivery(envelope);
    }
  }

  void run(long durationNs) {
    long endNs = nowNs + durationNs;
    while (!queue.isEmpty() && queue.peek().atNs() <= endNs) {
      ScheduledTask next = queue.poll();
      nowNs = next.atNs();
      next.task().run();
      history.checkLeases(members.values());
    }
    nowNs = endNs;
  }

  /** Runs until there is a leader with a valid lease. */
  FakeMember awaitLeader() {
    for (int i = 0; i < 1_000 && leader().isEmpty(); i++) {
      run(10 * MS);
    }
    return leader().orElseThrow(() -> new AssertionError("no leader within 10 s"));
  }

  void propose(FakeMember member) {
    propose(member, 1 + random.nextInt(40));
  }

  void propose(FakeMember member, int sizeBytes) {
    byte[] command = new byte[sizeBytes];
    command[0] = (byte) proposals;
    member.handle(new ReplicaEvent.Propose(proposals++, command));
  }

  /**
   * Ends all faults and checks that the group commits again and all members converge to the same
   * state.
   */
  void convergeAndCheck() {
    heal();
    lossPercent = 0;
    for (FakeMember member : new ArrayList<>(members.values())) {
      member.resume();
      member.start();
    }
    run(4_000 * MS);
    propose(awaitLeader());
    run(2_000 * MS);
    FakeMember leader = awaitLeader();
    for (FakeMember member : members.values()) {
      if (leader.membership().contains(member.id())
          && member.appliedIndex() != history.committedIndex()) {
        throw new AssertionError(
            member.id() + " is at " + member.appliedIndex() + " of " + history.committedIndex());
      }
    }
  }

  private void scheduleDelivery(PeerEnvelope envelope) {
    boolean slow = random.nextInt(100) < lossPercent;
    long extraNs =
        extraDelaysNs.getOrDefault(envelope.from(), 0L)
            + extraDelaysNs.getOrDefault(envelope.to(), 0L);
    long delayNs = extraNs + random.nextLong(slow ? 300 * MS : 4 * MS);
    runAfter(
        delayNs + takeInNs(envelope, delayNs),
        () -> {
          ReplicaEvent received = new ReplicaEvent.PeerMessageReceived(envelope);
          memberOn(vmOf(envelope.to())).ifPresent(member -> member.handle(received));
        });
  }

  /** Returns how long after its arrival a message is taken in, one after the other per receiver. */
  private long takeInNs(PeerEnvelope envelope, long delayNs) {
    long arrivalNs = nowNs + delayNs;
    long startNs = Math.max(arrivalNs, busyUntilNs.getOrDefault(envelope.to(), 0L));
    long endNs = startNs + sizeBytes(envelope.message()) * MS / bytesPerMs;
    if (endNs > startNs) {
      busyUntilNs.put(envelope.to(), endNs);
    }
    return Math.max(0, endNs - arrivalNs);
  }

  private static long sizeBytes(PeerMessage message) {
    if (message instanceof PeerMessage.Append append) {
      return LogEntry.sizeBytes(append.entries());
    }
    return message instanceof PeerMessage.InstallSnapshot snapshot ? snapshot.part().length : 0;
  }

  private static String vmOf(MemberId id) {
    return id.value().substring(0, id.value().indexOf('-'));
  }

  /**
   * Returns the member that runs on a VM now. After a disk loss this isn't the member to which an
   * earlier message was addressed.
   */
  private Optional<FakeMember> memberOn(String vm) {
    return members.values().stream()
        .filter(member -> member.member().vm().value().equals(vm))
        .findFirst();
  }
}
