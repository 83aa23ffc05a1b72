package org.teaseltrail.core.replication;

import java.util.List;
import java.util.OptionalLong;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/**
 * Follower role for one term under one leader: accepts the leader's entries and snapshots.
 *
 * <p>A reply acknowledges an index only as far as the log both matches the leader's and is synced,
 * so that a crash can't revoke an acknowledgement. A reply that waits for a sync can't outlive its
 * term, because it is computed from this object when the sync completes.
 */
final class Follower {

  private final ReplicaContext context;
  private final MemberId leader;
  private long matchedIndex;
  private long acknowledgedIndex;
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
    if (!matchesPrevious(append)) {
      reject(append.previousIndex());
      return;
    }
    appendMissing(append.entries());
    matchedIndex = Math.max(matchedIndex, append.previousIndex() + append.entries().size());
    context.commits.advanceTo(Math.min(append.commitIndex(), matchedIndex));
    if (append.entries().isEmpty() || syncedMatchIndex() == matchedIndex) {
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

  /** Acknowledges the entries synced since the last reply. */
  void synced() {
    if (syncedMatchIndex() > acknowledgedIndex) {
      acknowledge();
    }
  }

  private boolean matchesPrevious(PeerMessage.Append append) {
    if (append.previousIndex() <= matchedIndex) {
      return true;
    }
    return context.log.holds(append.previousIndex(), append.previousTerm());
  }

  private void appendMissing(List<LogEntry> entries) {
    int heldCount = 0;
    while (heldCount < entries.size() && isHeld(entries.get(heldCount))) {
      heldCount++;
    }
    if (heldCount == entries.size()) {
      return;
    }
    List<LogEntry> added = entries.subList(heldCount, entries.size());
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
    boolean logHasSnapshotEnd = context.log.holds(snapshot.index(), snapshot.term());
    context.log.install(snapshot);
    if (logHasSnapshotEnd) {
      context.members.installed(snapshot);
    } else {
      context.members.restartedAt(snapshot);
    }
    context.commits.installed(snapshot);
    matchedIndex = Math.max(matchedIndex, snapshot.index());
  }

  private long syncedMatchIndex() {
    return Math.min(matchedIndex, context.log.syncedIndex());
  }

  private void acknowledge() {
    acknowledgedIndex = syncedMatchIndex();
    context.outbox.send(
        leader,
        new PeerMessage.AppendReply(
            context.ballot.term(), newestRound, true, acknowledgedIndex, acknowledgedIndex + 1));
  }

  private void reject(long previousIndex) {
    context.outbox.send(
        leader,
        new PeerMessage.AppendReply(
            context.ballot.term(),
            newestRound,
            false,
            syncedMatchIndex(),
            resumeIndex(previousIndex)));
  }

  /**
   * Returns the index from which the leader should resume: after the end of the log, or at the
   * first entry of the conflicting term.
   */
  private long resumeIndex(long previousIndex) {
    ReplicatedLog log = context.log;
    if (previousIndex > log.lastIndex()) {
      return log.lastIndex() + 1;
    }
    OptionalLong conflictingTerm = log.termAt(previousIndex);
    long index = previousIndex;
    while (index > matchedIndex + 1 && log.termAt(index - 1).equals(conflictingTerm)) {
      index--;
    }
    return index;
  }
}
