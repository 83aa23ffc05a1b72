package org.teaseltrail.core.replication;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides when a member takes a snapshot of its state: after a number of entries, and not before
 * the commands since the last one are as large as the state, so that writing snapshots costs no
 * more than writing the log.
 *
 * <p>Failure: all members apply the same entries, so all would save a snapshot at the same moment,
 * and a large one stalls their syncs; users would see every claim wait, or a leader lost. The
 * guard: each member draws its own number of entries anew for each snapshot.
 */
final class SnapshotSchedule {

  private final int leastEntries;
  private final RandomGenerator random;
  private long entriesWanted;
  private long entries;
  private long bytes;
  private boolean askedFor;

  SnapshotSchedule(ReplicaSettings settings, RandomGenerator random) {
    this.leastEntries = settings.snapshotEveryEntries();
    this.random = random;
    this.entriesWanted = drawEntries();
  }

  /** Counts committed entries and tells whether a snapshot is due now. */
  boolean isDue(List<LogEntry> committed, Optional<Snapshot> last) {
    entries += committed.size();
    for (LogEntry entry : committed) {
      bytes += entry.payload().sizeBytes();
    }
    long stateBytes = last.map(snapshot -> (long) snapshot.state().length).orElse(0L);
    if (askedFor || entries < entriesWanted || bytes < stateBytes) {
      return false;
    }
    askedFor = true;
    return true;
  }

  /** Begins to count anew. */
  void taken() {
    askedFor = false;
    entries = 0;
    bytes = 0;
    entriesWanted = drawEntries();
  }

  /** Draws from the least number up to one and a half times as many. */
  private long drawEntries() {
    return leastEntries + random.nextLong(leastEntries / 2 + 1L);
  }
}
