package org.teaseltrail.core.replication;

/**
 * Size of a member's log.
 *
 * @param heldBytes size of the commands that are held in memory, in bytes
 * @param entriesSinceSnapshot entries after the latest snapshot, committed or not
 * @param bytesSinceSnapshot size of their commands, in bytes
 * @param snapshotIndex index of the last entry that the latest snapshot covers; 0 without one
 * @param snapshotBytes size of the state in the latest snapshot, in bytes; 0 without one
 */
public record LogStatus(
    long heldBytes,
    long entriesSinceSnapshot,
    long bytesSinceSnapshot,
    long snapshotIndex,
    long snapshotBytes) {}
