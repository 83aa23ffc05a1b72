/**
 * Keeps a control member's log, vote and snapshots in one data folder.
 *
 * <p>{@link org.teaseltrail.storage.StorageFolder} is the root. What it reports as synced outlives
 * the loss of power.
 */
package org.teaseltrail.storage;
