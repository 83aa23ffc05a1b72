package org.teaseltrail.core.replication;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/**
 * Is what a member's data folder held when the process started.
 *
 * @param vote the vote file
 * @param snapshot the newest snapshot
 * @param entries the log, without gaps; may begin before the snapshot's end
 */
public record RecoveredState(Vote vote, Optional<Snapshot> snapshot, List<LogEntry> entries) {

  /** Checks that the entries follow one another and the snapshot. */
  public RecoveredState {
    entries = List.copyOf(entries);
    long coveredIndex = snapshot.map(Snapshot::index).orElse(0L);
    for (int i = 0; i < entries.size(); i++) {
      long index = entries.get(i).index();
      boolean follows =
          i == 0 ? index <= coveredIndex + 1 : index == entries.get(i - 1).index() + 1;
      Invariant.check(follows, InvariantName.LOG_WITHOUT_GAP);
    }
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
    LogEntry first = new LogEntry(1, 0, new EntryPayload.MembershipPayload(Membership.of(founder)));
    return new RecoveredState(Vote.none(), Optional.empty(), List.of(first));
  }
}
