package org.teaseltrail.storage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.EntryPayload;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.core.replication.RecoveredState;
import org.teaseltrail.core.replication.ReplicaAction;
import org.teaseltrail.core.replication.Snapshot;
import org.teaseltrail.core.replication.Vote;

/** A sequence of writes with the expected state after each of them. */
final class WriteSequence {

  static final GroupId GROUP = new GroupId("group");
  static final FolderIdentity IDENTITY =
      FolderIdentity.create(GROUP, new VmId("c1"), new Incarnation(17));

  private final List<ReplicaAction.Write> writes = new ArrayList<>();
  private final List<RecoveredState> states = new ArrayList<>();

  WriteSequence() {
    this(RecoveredState.newGroup(IDENTITY.member()));
  }

  WriteSequence(RecoveredState start) {
    states.add(start);
  }

  /** Appends, votes, truncates, saves its own snapshot and installs one from another member. */
  static WriteSequence ofAllWriteTypes() {
    WriteSequence script = new WriteSequence();
    script.vote(1).append(1, 4).append(1, 2).append(1, 3).vote(2);
    script.truncate(6).append(2, 5).snapshot(8, 2, 5, false).append(2, 3);
    script.truncate(12).append(3, 1).append(3, 6).vote(4);
    script.snapshot(30, 4, 30, true).append(4, 2).append(4, 2);
    return script.appendLarge(4).append(4, 1).appendLarge(5);
  }

  /** Generates random writes that a replica could request. */
  static WriteSequence random(SplittableRandom random) {
    WriteSequence script = new WriteSequence();
    for (int term = 1; term <= 30; term++) {
      long first = script.firstIndex();
      long last = script.lastIndex();
      boolean empty = last < first;
      switch (empty ? 0 : random.nextInt(7)) {
        case 0, 1, 2 -> script.append(term, random.nextInt(1, 5));
        case 3 -> script.vote(term);
        case 4 -> script.truncate(random.nextLong(first, last + 1));
        case 5 -> script.appendLarge(term);
        default -> script.appendSnapshotAtRandomIndex(random, first, last, term);
      }
    }
    return script;
  }

  private void appendSnapshotAtRandomIndex(
      SplittableRandom random, long first, long last, long term) {
    if (random.nextInt(3) == 0) {
      long index = last + random.nextLong(1, 5);
      snapshot(index, term, index, true);
    } else {
      long index = random.nextLong(first, last + 1);
      long entryTerm = lastState().entries().get((int) (index - first)).term();
      snapshot(index, entryTerm, index - random.nextLong(3), false);
    }
  }

  private long firstIndex() {
    return lastState().snapshot().map(Snapshot::index).orElse(0L) + 1;
  }

  List<ReplicaAction.Write> writes() {
    return writes;
  }

  RecoveredState stateAfter(int count) {
    return states.get(count);
  }

  WriteSequence append(long term, int count) {
    List<LogEntry> added = new ArrayList<>();
    long next = lastIndex() + 1;
    for (int i = 0; i < count; i++) {
      byte[] command = new byte[3 + (int) next % 7];
      added.add(new LogEntry(next + i, term, new EntryPayload.CommandPayload(command)));
    }
    return append(added);
  }

  private WriteSequence append(List<LogEntry> added) {
    List<LogEntry> entries = new ArrayList<>(lastState().entries());
    entries.addAll(added);
    return add(
        new ReplicaAction.AppendToLog(number(), added),
        new RecoveredState(lastState().vote(), lastState().snapshot(), entries));
  }

  /** Appends a command that is too large to be buffered. */
  WriteSequence appendLarge(long term) {
    byte[] command = new byte[70_000];
    Arrays.fill(command, (byte) term);
    long index = lastIndex() + 1;
    return append(List.of(new LogEntry(index, term, new EntryPayload.CommandPayload(command))));
  }

  WriteSequence truncate(long index) {
    List<LogEntry> entries =
        lastState().entries().stream().filter(entry -> entry.index() < index).toList();
    return add(
        new ReplicaAction.TruncateLog(number(), index),
        new RecoveredState(lastState().vote(), lastState().snapshot(), entries));
  }

  WriteSequence vote(long term) {
    Vote vote = new Vote(term, Optional.of(IDENTITY.member().id()));
    return add(
        new ReplicaAction.SaveVote(number(), vote),
        new RecoveredState(vote, lastState().snapshot(), lastState().entries()));
  }

  WriteSequence snapshot(long index, long term, long keepAfterIndex, boolean discardsLog) {
    Membership membership = Membership.of(IDENTITY.member());
    Snapshot snapshot = new Snapshot(index, term, membership, new byte[50]);
    List<LogEntry> entries = discardsLog ? List.of() : lastState().entries();
    return add(
        new ReplicaAction.SaveSnapshot(number(), snapshot, keepAfterIndex, discardsLog),
        new RecoveredState(lastState().vote(), Optional.of(snapshot), entries));
  }

  private WriteSequence add(ReplicaAction.Write write, RecoveredState state) {
    writes.add(write);
    states.add(state);
    return this;
  }

  private RecoveredState lastState() {
    return states.get(states.size() - 1);
  }

  private long lastIndex() {
    List<LogEntry> entries = lastState().entries();
    long covered = lastState().snapshot().map(Snapshot::index).orElse(0L);
    return entries.isEmpty() ? covered : entries.get(entries.size() - 1).index();
  }

  private long number() {
    return writes.size() + 1;
  }
}
