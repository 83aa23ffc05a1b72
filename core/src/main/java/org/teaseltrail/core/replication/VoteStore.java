package org.teaseltrail.core.replication;

import java.util.Optional;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/**
 * Keeps the member's current term and vote and persists every change of them.
 *
 * <p>A vote is sent to other members, or counted by this member, only after its write is synced.
 * Otherwise a member that restarts after a power loss could vote twice in one term.
 */
final class VoteStore {

  private final Outbox outbox;
  private Vote vote;
  private long newestWriteNumber;
  private long syncedWriteNumber;

  VoteStore(Outbox outbox, RecoveredState recovered) {
    this.outbox = outbox;
    this.vote = recoveredVote(recovered);
  }

  private static Vote recoveredVote(RecoveredState recovered) {
    long logTerm = recovered.entries().stream().mapToLong(LogEntry::term).max().orElse(0);
    long snapshotTerm = recovered.snapshot().map(Snapshot::term).orElse(0L);
    long term = Math.max(logTerm, snapshotTerm);
    return term > recovered.vote().term() ? new Vote(term, Optional.empty()) : recovered.vote();
  }

  long term() {
    return vote.term();
  }

  /** Advances to a later term without casting a vote. */
  void advanceTo(long term) {
    save(new Vote(term, Optional.empty()));
  }

  /** Advances to the next term and casts this member's own vote in it. */
  void voteForSelfInNextTerm(MemberId self) {
    save(new Vote(vote.term() + 1, Optional.of(self)));
  }

  boolean canVoteFor(MemberId candidate) {
    return vote.votedFor().map(candidate::equals).orElse(true);
  }

  void voteFor(MemberId candidate) {
    if (vote.votedFor().isEmpty()) {
      save(new Vote(vote.term(), Optional.of(candidate)));
    }
  }

  boolean isSynced() {
    return syncedWriteNumber >= newestWriteNumber;
  }

  void onSynced(long writeNumber) {
    syncedWriteNumber = Math.max(syncedWriteNumber, writeNumber);
  }

  private void save(Vote changed) {
    Invariant.check(changed.term() >= vote.term(), InvariantName.TERM_GROWS);
    vote = changed;
    newestWriteNumber = outbox.write(number -> new ReplicaAction.SaveVote(number, changed));
  }
}
