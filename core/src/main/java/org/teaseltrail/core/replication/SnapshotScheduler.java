package org.teaseltrail.core.replication;

import java.util.random.RandomGenerator;

/**
 * Decides when a member takes a snapshot of its state: after a number of entries or a size of their
 * commands, whichever is reached first, and not before the commands since the last snapshot are as
 * large as the state, so that writing snapshots costs no more than writing the log.
 *
 * <p>Each member draws both thresholds at random for each snapshot. All members apply the same
 * entries, so with fixed thresholds all of them would save a snapshot at the same time. A large
 * snapshot stalls syncs, so every claim would be delayed, or the leader lost.
 */
final class SnapshotScheduler {

  private final SnapshotSettings settings;
  private final RandomGenerator random;
  private long entriesThreshold;
  private long bytesThreshold;
  private boolean isRequested;

  SnapshotScheduler(SnapshotSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
    drawThresholds();
  }

  /**
   * Returns whether a snapshot is due now.
   *
   * @param entries entries committed since the last snapshot
   * @param bytes size of their commands, in bytes
   * @param stateBytes size of the state in the last snapshot, in bytes
   */
  boolean isDue(long entries, long bytes, long stateBytes) {
    boolean isLong = entries >= entriesThreshold || bytes >= bytesThreshold;
    if (isRequested || !isLong || bytes < stateBytes) {
      return false;
    }
    isRequested = true;
    return true;
  }

  /** Draws the thresholds of the next snapshot. */
  void onSnapshotTaken() {
    isRequested = false;
    drawThresholds();
  }

  /** Draws both as the same multiple, one to one and a half, of their minimum. */
  private void drawThresholds() {
    int minEntries = settings.intervalEntries();
    entriesThreshold = minEntries + random.nextLong(minEntries / 2 + 1L);
    bytesThreshold = settings.intervalBytes() * entriesThreshold / minEntries;
  }
}
