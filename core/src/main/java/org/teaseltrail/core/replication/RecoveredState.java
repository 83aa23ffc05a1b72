package org.teaseltrail.core.replication;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/**
 * State of a member recovered from its data folder at startup.
 *
 * <p>A crash after a leader's snapshot is saved and before the log that it replaces is deleted
 * leaves both on disk. Entries that conflict with the last entry of the snapshot are therefore
 * dropped here.
 *
 * @param vote content of the vote file
 * @param snapshot the latest snapshot
 * @param entries the log without gaps, starting at or before the first entry after the snapshot
 */
public record RecoveredState(Vote vote, Optional<Snapshot> snapshot, List<LogEntry> entries) {

  /** Drops entries that the snapshot replaces and checks that the remaining ones have no gaps. */
  public RecoveredState {
    entries =
        snapshot.isPresent() ? withoutReplaced(snapshot.get(), entries) : List.copyOf(entries);
    long expectedIndex = snapshot.map(Snapshot::index).orElse(0L) + 1;
    for (LogEntry entry : entries) {
      Invariant.check(entry.index() == expectedIndex, InvariantName.LOG_WITHOUT_GAP);
      expectedIndex++;
    }
  }

  private static List<LogEntry> withoutReplaced(Snapshot snapshot, List<LogEntry> entries) {
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
   * Returns the state of a member that joins an existing group. It has no log and never votes
   * before it has received the group's member set.
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
   * Returns the state of each founder of a new group. All founders must start with the same member
   * set: it is the first entry of each of their logs, so that they agree on it without exchanging
   * messages.
   *
   * @param founders the initial member set
   * @return a log with the member set as its first entry
   */
  public static RecoveredState newGroup(Membership founders) {
    LogEntry firstEntry = new LogEntry(1, 0, new EntryPayload.MembershipPayload(founders));
    return new RecoveredState(Vote.none(), Optional.empty(), List.of(firstEntry));
  }
}
