/**
 * Durable storage of a control member's log, vote and snapshots in one data folder.
 *
 * <p>{@link org.teaseltrail.storage.ReplicaStorage} is the entry point. Writes that it reports as
 * synced survive a power loss.
 */
package org.teaseltrail.storage;
