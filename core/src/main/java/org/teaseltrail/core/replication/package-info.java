/**
 * Replicates a log over the control members: elections, leader lease, snapshots, member changes.
 *
 * <p>{@link org.teaseltrail.core.replication.Replica} is the root. It knows nothing of what the
 * log's commands say, reads no clock and does no input or output.
 */
package org.teaseltrail.core.replication;
