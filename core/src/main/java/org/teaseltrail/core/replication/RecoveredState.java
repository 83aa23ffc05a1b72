package org.teaseltrail.core.replication;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/**
 * Is what a member's data folder held when the process started.
 *
 * <p>A crash between the saving of a leader's snapshot and the dropping of the log that it replaces
 * leaves both. Entries that the snapshot's last entry doesn't join are therefore left out here.
 *
 * @param vote the vote file
 * @param snapshot the newest snapshot
 * @param entries the log without gaps, from the snapshot's end on or from before it
 */
public record RecoveredState(Vote vote, Optional<Snapshot> snapshot, List<LogEntry> entries) {

  /** Drops entries that the snapshot replaces and checks that the others follow one another. */
  public RecoveredState {
    entries = snapshot.isPresent() ? joining(snapshot.get(), entries) : List.copyOf(entries);
    long expectedIndex = snapshot.map(Snapshot::index).orElse(0L) + 1;
    for (LogEntry entry : entries) {
      Invariant.check(entry.index() == expectedIndex, InvariantName.LOG_WITHOUT_GAP);
      expectedIndex++;
    }
  }

  private static List<LogEntry> joining(Snapshot snapshot, List<LogEntry> entries) {
    boolean conflicts =
        entries.stream()
            .anyMatch(
                entry -> entry.index() == snapshot.index() && entry.term() != snapshot.term());
    if (conflicts) {
      return List.of();
    }
    return entries.stream().filter(entry -> entry.index() > snapshot.index()).toList();
  }

  /**
   * Returns the state of a member that joins a group: it knows nothing and never votes before it
   * has heard of the group's members.
   *
   * @return the empty state
   */
  public static RecoveredState empty() {
    return new RecoveredState(Vote.none(), Optional.empty(), List.of());
  }

  /**
   * Returns the state of the only member of a new group.
   *
   * @param founder the member
   * @return a log with the member set as its first entry
   */
  public static RecoveredState newGroup(Member founder) {
    return newGroup(Membership.of(founder));
  }

  /**
   * Returns the state of each founder of a new group. All founders must begin with the same set: it
   * is the first entry of all their logs, so that they agree on it without having spoken.
   *
   * @param founders the members that vote from the start
   * @return a log with the member set as its first entry
   */
  public static RecoveredState newGroup(Membership founders) {
    LogEntry first = new LogEntry(1, 0, new EntryPayload.MembershipPayload(founders));
    return new RecoveredState(Vote.none(), Optional.empty(), List.of(first));
  }
}
