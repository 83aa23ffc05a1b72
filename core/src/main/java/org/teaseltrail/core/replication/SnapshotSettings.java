package org.teaseltrail.core.replication;

/**
 * Sizes that decide when a member takes a snapshot, how it is sent, and how much of the log before
 * its end is retained.
 *
 * <p>The log since the latest snapshot is bounded by its number of entries and by its size in
 * bytes: it is held in memory, read at a start and sent to new members, and a few hundred commands
 * may hold a whole configuration each.
 *
 * @param chunkBytes bytes of a snapshot in one message
 * @param intervalEntries min entries committed since the last snapshot before the next one is taken
 *     for their number
 * @param intervalBytes min size of the commands committed since the last snapshot before the next
 *     one is taken for their size; also the max size of the entries before the end of a snapshot
 *     that are retained for any member, in bytes
 * @param retainedEntries max entries before the end of a snapshot that are retained for members
 *     that lag slightly, whether they respond or not
 */
public record SnapshotSettings(
    int chunkBytes, int intervalEntries, int intervalBytes, int retainedEntries) {

  private static final int MAX_RETAINED_INTERVALS = 4;

  /**
   * Returns the settings for the memory of a control member: the log takes a few megabytes of it,
   * and a quarter at most while a member is being caught up.
   *
   * @return the defaults
   */
  public static SnapshotSettings defaults() {
    return new SnapshotSettings(256 * 1024, 10_000, 4 * 1024 * 1024, 1_000);
  }

  /** Returns the max entries before the end of a snapshot that are retained for any member. */
  long maxRetainedEntries() {
    return MAX_RETAINED_INTERVALS * (long) intervalEntries;
  }

  /**
   * Returns the max size of the entries before the end of a snapshot that are retained for members
   * that respond and lag, in bytes.
   */
  long maxRetainedBytes() {
    return MAX_RETAINED_INTERVALS * (long) intervalBytes;
  }
}
