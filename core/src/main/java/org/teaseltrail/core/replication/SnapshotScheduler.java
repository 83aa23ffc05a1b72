package org.teaseltrail.core.replication;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides when a member takes a snapshot of its state: after a number of entries, and not before
 * the commands since the last snapshot are as large as the state, so that writing snapshots costs
 * no more than writing the log.
 *
 * <p>Each member draws its number of entries at random for each snapshot. All members apply the
 * same entries, so with a fixed number all of them would save a snapshot at the same time. A large
 * snapshot stalls syncs, so every claim would be delayed, or the leader lost.
 */
final class SnapshotScheduler {

  private final int minEntries;
  private final RandomGenerator random;
  private long entriesThreshold;
  private long entries;
  private long bytes;
  private boolean isRequested;

  SnapshotScheduler(ReplicaSettings settings, RandomGenerator random) {
    this.minEntries = settings.snapshotIntervalEntries();
    this.random = random;
    this.entriesThreshold = drawThreshold();
  }

  /** Counts committed entries and returns whether a snapshot is due now. */
  boolean isDue(List<LogEntry> committed, Optional<Snapshot> lastSnapshot) {
    entries += committed.size();
    for (LogEntry entry : committed) {
      bytes += entry.payload().sizeBytes();
    }
    long stateBytes = lastSnapshot.map(snapshot -> (long) snapshot.state().length).orElse(0L);
    if (isRequested || entries < entriesThreshold || bytes < stateBytes) {
      return false;
    }
    isRequested = true;
    return true;
  }

  /** Restarts the counting after a snapshot. */
  void onSnapshotTaken() {
    isRequested = false;
    entries = 0;
    bytes = 0;
    entriesThreshold = drawThreshold();
  }

  /** Draws a number between the minimum and one and a half times the minimum. */
  private long drawThreshold() {
    return minEntries + random.nextLong(minEntries / 2 + 1L);
  }
}
