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
final class FollowerRole {

  private final ReplicaContext context;
  private final MemberId leader;
  private long matchedIndex;
  private long acknowledgedIndex;
  private long newestRound;
  private SnapshotAssembler assembly;

  FollowerRole(ReplicaContext context, MemberId leader) {
    this.context = context;
    this.leader = leader;
    this.matchedIndex = context.commitTracker.commitIndex();
  }

  MemberId leader() {
    return leader;
  }

  void onAppend(PeerMessage.Append append) {
    newestRound = Math.max(newestRound, append.round());
    if (!matchesPrevious(append)) {
      reject(append.previousIndex());
      return;
    }
    appendMissing(append.entries());
    matchedIndex = Math.max(matchedIndex, append.previousIndex() + append.entries().size());
    context.commitTracker.advanceTo(Math.min(append.commitIndex(), matchedIndex));
    if (append.entries().isEmpty() || syncedMatchIndex() == matchedIndex) {
      acknowledge();
    }
  }

  void onInstallSnapshot(PeerMessage.InstallSnapshot message) {
    newestRound = Math.max(newestRound, message.round());
    if (message.snapshotIndex() <= context.commitTracker.commitIndex()) {
      acknowledge();
      return;
    }
    if (assembly == null || !assembly.matches(message)) {
      assembly = new SnapshotAssembler(message);
    }
    assembly.add(message);
    context.outbox.send(
        leader,
        new PeerMessage.InstallSnapshotReply(
            context.voteStore.term(),
            newestRound,
            message.snapshotIndex(),
            assembly.receivedBytes()));
    if (assembly.isComplete()) {
      install(assembly.snapshot());
      assembly = null;
    }
  }

  /** Acknowledges the entries synced since the last reply. */
  void onSynced() {
    if (syncedMatchIndex() > acknowledgedIndex) {
      acknowledge();
    }
  }

  private boolean matchesPrevious(PeerMessage.Append append) {
    if (append.previousIndex() <= matchedIndex) {
      return true;
    }
    return context.log.hasEntry(append.previousIndex(), append.previousTerm());
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
    return entry.index() <= matchedIndex || context.log.hasEntry(entry.index(), entry.term());
  }

  private void truncateFrom(long index) {
    if (index > context.log.lastIndex()) {
      return;
    }
    Invariant.check(
        index > context.commitTracker.commitIndex(), InvariantName.COMMITTED_ENTRY_KEPT);
    context.log.truncateFrom(index);
    context.members.onTruncatedFrom(index);
  }

  private void install(Snapshot snapshot) {
    boolean logHasSnapshotEnd = context.log.hasEntry(snapshot.index(), snapshot.term());
    context.log.install(snapshot);
    if (logHasSnapshotEnd) {
      context.members.installed(snapshot);
    } else {
      context.members.resetTo(snapshot);
    }
    context.commitTracker.installed(snapshot);
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
            context.voteStore.term(), newestRound, true, acknowledgedIndex, acknowledgedIndex + 1));
  }

  private void reject(long previousIndex) {
    context.outbox.send(
        leader,
        new PeerMessage.AppendReply(
            context.voteStore.term(),
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
