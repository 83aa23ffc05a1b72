package org.teaseltrail.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.MemberId;

/**
 * Is one member's part in replicating the log. Holds no clock, no thread, no socket and no file:
 * the caller passes events and the monotonic time, and carries out the actions in their order.
 *
 * <p>This first shape serves a group of one member.
 */
public final class Replica {

  private final MemberId self;
  private final List<LogEntry> log;
  private List<ReplicaAction> actions = new ArrayList<>();
  private Vote vote;
  private boolean leading;
  private long voteWrite;
  private long writeNumber;
  private long syncedIndex;
  private long appliedIndex;
  private final List<long[]> marks = new ArrayList<>();

  /**
   * Creates a replica.
   *
   * @param group the group
   * @param self this member
   * @param settings times and sizes
   * @param recovered what the data folder held
   * @param random draws election timeouts
   * @param nowNs monotonic time in nanoseconds
   */
  public Replica(
      GroupId group,
      MemberId self,
      ReplicaSettings settings,
      RecoveredState recovered,
      RandomGenerator random,
      long nowNs) {
    this.self = self;
    this.vote = recovered.vote();
    this.log = new ArrayList<>(recovered.entries());
    this.syncedIndex = lastIndex();
  }

  /**
   * Takes an event.
   *
   * @param event what has happened
   * @param nowNs monotonic time in nanoseconds, never less than at the call before
   * @return what is to be done, in order
   */
  public List<ReplicaAction> handle(ReplicaEvent event, long nowNs) {
    actions = new ArrayList<>();
    if (voteWrite == 0 && !log.isEmpty()) {
      vote = new Vote(vote.term() + 1, Optional.of(self));
      voteWrite = ++writeNumber;
      actions.add(new ReplicaAction.SaveVote(writeNumber, vote));
    }
    if (event instanceof ReplicaEvent.Persisted persisted) {
      persisted(persisted.writeNumber());
    } else if (event instanceof ReplicaEvent.Propose propose) {
      propose(propose);
    } else if (event instanceof ReplicaEvent.ReadBarrier barrier) {
      actions.add(
          leading
              ? new ReplicaAction.ReadReady(barrier.barrierId())
              : new ReplicaAction.ReadRejected(barrier.barrierId(), ProposalRejection.NOT_LEADER));
    }
    return actions;
  }

  /**
   * Returns when the replica next wants a tick if nothing else happens.
   *
   * @return monotonic time in nanoseconds, or empty if it waits for nothing
   */
  public OptionalLong nextWakeupNs() {
    return leading || voteWrite > 0 ? OptionalLong.empty() : OptionalLong.of(0);
  }

  /**
   * Tells whether this member leads and no other can.
   *
   * @param nowNs monotonic time in nanoseconds
   * @return true while its lease holds
   */
  public boolean leaseHolds(long nowNs) {
    return leading;
  }

  /**
   * Returns this member's term.
   *
   * @return the term
   */
  public long term() {
    return vote.term();
  }

  /**
   * Returns the leader of this term.
   *
   * @return the leader, if one is known
   */
  public Optional<MemberId> leader() {
    return leading ? Optional.of(self) : Optional.empty();
  }

  private long lastIndex() {
    return log.size();
  }

  private void propose(ReplicaEvent.Propose propose) {
    if (!leading) {
      actions.add(
          new ReplicaAction.ProposalRejected(propose.proposalId(), ProposalRejection.NOT_LEADER));
      return;
    }
    append(new EntryPayload.CommandPayload(propose.command()));
    actions.add(new ReplicaAction.ProposalAppended(propose.proposalId(), lastIndex(), term()));
  }

  private void append(EntryPayload payload) {
    LogEntry entry = new LogEntry(lastIndex() + 1, term(), payload);
    log.add(entry);
    marks.add(new long[] {++writeNumber, entry.index()});
    actions.add(new ReplicaAction.AppendToLog(writeNumber, List.of(entry)));
  }

  private void persisted(long number) {
    if (voteWrite > 0 && number >= voteWrite && voteWrite == writeNumber && marks.isEmpty()) {
      append(new EntryPayload.Noop());
    }
    while (!marks.isEmpty() && marks.get(0)[0] <= number) {
      syncedIndex = marks.remove(0)[1];
    }
    if (syncedIndex > appliedIndex && log.get((int) syncedIndex - 1).term() == term()) {
      List<LogEntry> entries = List.copyOf(log.subList((int) appliedIndex, (int) syncedIndex));
      appliedIndex = syncedIndex;
      actions.add(new ReplicaAction.Apply(entries));
      if (!leading) {
        leading = true;
        actions.add(new ReplicaAction.BecameLeader(term()));
      }
    }
  }
}
