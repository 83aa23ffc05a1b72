package org.teaseltrail.core.replication;

import java.util.List;
import java.util.OptionalLong;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/**
 * Takes the leader's entries and snapshots. One object serves one term under one leader.
 *
 * <p>Guards against acknowledging what a crash takes back: a reply names an index only up to where
 * the log is both the leader's and synced. Replies held back by a sync can't outlive their term, as
 * they are worked out from this object when the sync is done.
 */
final class Follower {

  private final ReplicaContext context;
  private final MemberId leader;
  private long matchedIndex;
  private long toldIndex;
  private long newestRound;
  private SnapshotAssembly assembly;

  Follower(ReplicaContext context, MemberId leader) {
    this.context = context;
    this.leader = leader;
    this.matchedIndex = context.commits.commitIndex();
  }

  MemberId leader() {
    return leader;
  }

  void append(PeerMessage.Append append) {
    newestRound = Math.max(newestRound, append.round());
    if (!joins(append)) {
      reject(append.previousIndex());
      return;
    }
    takeEntries(append.entries());
    matchedIndex = Math.max(matchedIndex, append.previousIndex() + append.entries().size());
    context.commits.advanceTo(Math.min(append.commitIndex(), matchedIndex));
    if (append.entries().isEmpty() || syncedMatch() == matchedIndex) {
      acknowledge();
    }
  }

  void installSnapshot(PeerMessage.InstallSnapshot message) {
    newestRound = Math.max(newestRound, message.round());
    if (message.snapshotIndex() <= context.commits.commitIndex()) {
      acknowledge();
      return;
    }
    if (assembly == null || !assembly.isOf(message)) {
      assembly = new SnapshotAssembly(message);
    }
    assembly.add(message);
    context.outbox.send(
        leader,
        new PeerMessage.InstallSnapshotReply(
            context.ballot.term(), newestRound, message.snapshotIndex(), assembly.receivedBytes()));
    if (assembly.isComplete()) {
      install(assembly.snapshot());
      assembly = null;
    }
  }

  /** Acknowledges what has been synced since the last reply. */
  void synced() {
    if (syncedMatch() > toldIndex) {
      acknowledge();
    }
  }

  private boolean joins(PeerMessage.Append append) {
    if (append.previousIndex() <= matchedIndex) {
      return true;
    }
    return context.log.holds(append.previousIndex(), append.previousTerm());
  }

  private void takeEntries(List<LogEntry> entries) {
    int known = 0;
    while (known < entries.size() && isHeld(entries.get(known))) {
      known++;
    }
    if (known == entries.size()) {
      return;
    }
    List<LogEntry> added = entries.subList(known, entries.size());
    truncateFrom(added.get(0).index());
    context.append(added);
  }

  private boolean isHeld(LogEntry entry) {
    return entry.index() <= matchedIndex || context.log.holds(entry.index(), entry.term());
  }

  private void truncateFrom(long index) {
    if (index > context.log.lastIndex()) {
      return;
    }
    Invariant.check(index > context.commits.commitIndex(), InvariantName.COMMITTED_ENTRY_KEPT);
    context.log.truncateFrom(index);
    context.members.truncatedFrom(index);
  }

  private void install(Snapshot snapshot) {
    boolean keepsLog = context.log.holds(snapshot.index(), snapshot.term());
    context.log.install(snapshot);
    if (keepsLog) {
      context.members.installed(snapshot);
    } else {
      context.members.restartedAt(snapshot);
    }
    context.commits.installed(snapshot);
    matchedIndex = Math.max(matchedIndex, snapshot.index());
  }

  private long syncedMatch() {
    return Math.min(matchedIndex, context.log.syncedIndex());
  }

  private void acknowledge() {
    toldIndex = syncedMatch();
    context.outbox.send(
        leader,
        new PeerMessage.AppendReply(
            context.ballot.term(), newestRound, true, toldIndex, toldIndex + 1));
  }

  private void reject(long previousIndex) {
    context.outbox.send(
        leader,
        new PeerMessage.AppendReply(
            context.ballot.term(), newestRound, false, syncedMatch(), resumeIndex(previousIndex)));
  }

  /** Returns where the leader should go on: behind the log's end, or before a term that differs. */
  private long resumeIndex(long previousIndex) {
    ReplicatedLog log = context.log;
    if (previousIndex > log.lastIndex()) {
      return log.lastIndex() + 1;
    }
    OptionalLong differing = log.termAt(previousIndex);
    long index = previousIndex;
    while (index > matchedIndex + 1 && log.termAt(index - 1).equals(differing)) {
      index--;
    }
    return index;
  }
}
