package org.teaseltrail.core.replication;

import java.util.Optional;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/**
 * Holds this member's term and vote and has each change saved.
 *
 * <p>Guards against a second vote in one term after a restart: a vote is told to anyone, this
 * member included, only once its write is synced.
 */
final class Ballot {

  private final Outbox outbox;
  private Vote vote;
  private long newestWrite;
  private long syncedWrite;

  Ballot(Outbox outbox, RecoveredState recovered) {
    this.outbox = outbox;
    this.vote = atLeastLogTerm(recovered);
  }

  private static Vote atLeastLogTerm(RecoveredState recovered) {
    long logTerm = recovered.entries().stream().mapToLong(LogEntry::term).max().orElse(0);
    long snapshotTerm = recovered.snapshot().map(Snapshot::term).orElse(0L);
    long term = Math.max(logTerm, snapshotTerm);
    return term > recovered.vote().term() ? new Vote(term, Optional.empty()) : recovered.vote();
  }

  long term() {
    return vote.term();
  }

  /** Goes on to a later term without a vote. */
  void advanceTo(long term) {
    save(new Vote(term, Optional.empty()));
  }

  /** Goes on to the next term and votes in it for this member. */
  void standAs(MemberId self) {
    save(new Vote(vote.term() + 1, Optional.of(self)));
  }

  boolean mayVoteFor(MemberId candidate) {
    return vote.votedFor().map(candidate::equals).orElse(true);
  }

  void voteFor(MemberId candidate) {
    if (vote.votedFor().isEmpty()) {
      save(new Vote(vote.term(), Optional.of(candidate)));
    }
  }

  boolean isSynced() {
    return syncedWrite >= newestWrite;
  }

  void synced(long writeNumber) {
    syncedWrite = Math.max(syncedWrite, writeNumber);
  }

  private void save(Vote changed) {
    Invariant.check(changed.term() >= vote.term(), InvariantName.TERM_GROWS);
    vote = changed;
    newestWrite = outbox.write(number -> new ReplicaAction.SaveVote(number, changed));
  }
}
