package org.teaseltrail.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.id.MemberId;

/**
 * Runs one replica with a simulated disk and its own clock; it can crash, pause and lose its disk.
 */
final class FakeMember {

  private static final long MAX_SYNC_NS = 3_000_000L;

  private final FakeGroup group;
  private final Member member;
  private final FakeDisk disk;
  private final long offsetNs;
  private final double rate;
  private final Deque<ReplicaEvent> held = new ArrayDeque<>();
  private final Map<Long, Long> barriers = new HashMap<>();
  private Replica replica;
  private int incarnation;
  private boolean paused;
  private boolean syncing;
  private boolean diskHangs;
  private long wakeupNs;
  private long appliedIndex;
  private long stateHash;
  private long readsAfterPause;
  private int actionsUntilCrash = -1;

  FakeMember(FakeGroup group, Member member, RecoveredState initial) {
    this.group = group;
    this.member = member;
    this.disk = new FakeDisk(initial);
    this.offsetNs = group.random().nextLong(1_000_000_000_000L);
    this.rate = 1 + (group.random().nextInt(3) - 1) * 0.02;
    start();
  }

  MemberId id() {
    return member.id();
  }

  Member member() {
    return member;
  }

  FakeDisk disk() {
    return disk;
  }

  boolean isUp() {
    return replica != null;
  }

  boolean isLeader() {
    return isUp() && replica.leader().map(id()::equals).orElse(false);
  }

  boolean isLeaseValid() {
    return isUp() && replica.isLeaseValid(localNs());
  }

  boolean canVote() {
    return isUp() && !replica.isVoteWithheld(localNs());
  }

  Membership membership() {
    return replica.membership();
  }

  Replica replica() {
    return replica;
  }

  long appliedIndex() {
    return appliedIndex;
  }

  boolean hasCrashed() {
    return incarnation > 0;
  }

  void crashAfterActions(int count) {
    actionsUntilCrash = count;
  }

  void start() {
    if (isUp()) {
      return;
    }
    appliedIndex = 0;
    stateHash = 0;
    wakeupNs = Long.MAX_VALUE;
    replica =
        new Replica(
            FakeGroup.ID,
            id(),
            group.settings(),
            disk.recovered(),
            group.random().split(),
            localNs());
    handle(new ReplicaEvent.Tick());
  }

  /**
   * Simulates a power loss: any number of the unsynced writes, in order, may have reached the disk.
   */
  void crash() {
    disk.crash(group.random().nextInt(disk.unsyncedCount() + 1));
    replica = null;
    incarnation++;
    paused = false;
    syncing = false;
    held.clear();
    barriers.clear();
  }

  /** Lets the disk complete no sync from now on, or complete them again. */
  void setDiskHangs(boolean hangs) {
    diskHangs = hangs;
    if (!hangs) {
      startSync();
    }
  }

  void pause() {
    paused = true;
  }

  /** Resumes with a read, followed by all events that arrived during the pause. */
  void resume() {
    paused = false;
    if (isLeader()) {
      readsAfterPause--;
      read(readsAfterPause);
    }
    while (!paused && isUp() && !held.isEmpty()) {
      handle(held.removeFirst());
    }
    if (isUp()) {
      handle(new ReplicaEvent.Tick());
    }
  }

  void handle(ReplicaEvent event) {
    if (!isUp()) {
      return;
    }
    if (paused) {
      held.addLast(event);
      return;
    }
    int current = incarnation;
    List<ReplicaAction> actions = replica.handle(event, localNs());
    checkReceiver(event, actions);
    for (ReplicaAction action : actions) {
      if (incarnation == current) {
        execute(action);
      }
    }
    if (incarnation == current) {
      checkMembership(actions);
      startSync();
      scheduleWakeup();
    }
  }

  /** Requests a read that must observe everything committed so far. */
  void read(long barrierId) {
    barriers.put(barrierId, group.history().committedIndex());
    handle(new ReplicaEvent.ReadBarrier(barrierId));
  }

  private void execute(ReplicaAction action) {
    if (actionsUntilCrash == 0) {
      actionsUntilCrash = -1;
      crash();
      group.runAfter(50_000_000L, this::start);
      return;
    }
    actionsUntilCrash--;
    if (action instanceof ReplicaAction.Write write) {
      disk.write(write);
    } else if (action instanceof ReplicaAction.SendPeerMessage send) {
      checkDurable(send.envelope());
      group.send(send.envelope());
    } else if (action instanceof ReplicaAction.Apply apply) {
      apply.entries().forEach(this::apply);
    } else if (action instanceof ReplicaAction.RestoreSnapshot restore) {
      restore(restore.snapshot());
    } else if (action instanceof ReplicaAction.TakeSnapshot) {
      handle(new ReplicaEvent.SnapshotTaken(appliedIndex, state()));
    } else if (action instanceof ReplicaAction.BecameLeader became) {
      group.history().onBecameLeader(this, became.term());
    } else if (action instanceof ReplicaAction.ReadReady ready) {
      assertThat(appliedIndex).isGreaterThanOrEqualTo(barriers.remove(ready.barrierId()));
    }
  }

  private void checkMembership(List<ReplicaAction> actions) {
    boolean changed =
        actions.stream()
            .anyMatch(
                action ->
                    action instanceof ReplicaAction.TruncateLog
                        || action instanceof ReplicaAction.MembershipChanged);
    if (changed) {
      assertThat(replica.membership()).isEqualTo(disk.writtenMembership());
    }
  }

  private void checkReceiver(ReplicaEvent event, List<ReplicaAction> actions) {
    if (event instanceof ReplicaEvent.PeerMessageReceived received
        && !received.envelope().to().equals(id())) {
      assertThat(actions).noneMatch(FakeMember::isReply);
    }
  }

  private static boolean isReply(ReplicaAction action) {
    return action instanceof ReplicaAction.SendPeerMessage send
        && send.envelope().message().getClass().getSimpleName().endsWith("Reply");
  }

  /** Checks that whatever a message acknowledges would survive a power loss now. */
  private void checkDurable(PeerEnvelope envelope) {
    PeerMessage message = envelope.message();
    if (message instanceof PeerMessage.VoteReply reply && reply.granted()) {
      assertThat(disk.syncedVote()).isEqualTo(new Vote(reply.term(), Optional.of(envelope.to())));
    } else if (message instanceof PeerMessage.VoteRequest request) {
      assertThat(disk.syncedVote()).isEqualTo(new Vote(request.term(), Optional.of(id())));
    } else if (message instanceof PeerMessage.AppendReply reply) {
      assertThat(disk.syncedIndex()).isGreaterThanOrEqualTo(reply.matchIndex());
    }
  }

  private void apply(LogEntry entry) {
    assertThat(entry.index()).isEqualTo(appliedIndex + 1);
    appliedIndex = entry.index();
    stateHash = group.history().applied(this, entry, group.allStarted());
  }

  private byte[] state() {
    return ByteBuffer.allocate(group.stateBytes()).putLong(appliedIndex).putLong(stateHash).array();
  }

  private void restore(Snapshot snapshot) {
    ByteBuffer state = ByteBuffer.wrap(snapshot.state());
    appliedIndex = state.getLong();
    stateHash = state.getLong();
    assertThat(appliedIndex).isEqualTo(snapshot.index());
    group.history().onRestored(this, appliedIndex, stateHash);
  }

  private void startSync() {
    if (syncing || diskHangs || disk.isAllSynced()) {
      return;
    }
    syncing = true;
    long writeNumber = disk.newestWriteNumber();
    int expected = incarnation;
    group.runAfter(
        group.random().nextLong(MAX_SYNC_NS),
        () -> {
          if (incarnation == expected) {
            disk.sync(writeNumber);
            syncing = false;
            handle(new ReplicaEvent.Persisted(writeNumber));
          }
        });
  }

  private void scheduleWakeup() {
    OptionalLong wanted = replica.nextWakeupNs();
    if (wanted.isEmpty() || wanted.getAsLong() >= wakeupNs) {
      return;
    }
    wakeupNs = wanted.getAsLong();
    int expected = incarnation;
    long delayNs = Math.max(0, (long) ((wakeupNs - localNs()) / rate)) + 1_000;
    group.runAfter(delayNs, () -> onWakeup(expected));
  }

  private void onWakeup(int expected) {
    if (incarnation == expected) {
      wakeupNs = Long.MAX_VALUE;
      handle(new ReplicaEvent.Tick());
    }
  }

  long localNs() {
    return offsetNs + (long) (group.nowNs() * rate);
  }
}
