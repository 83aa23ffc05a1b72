/**
 * Raft replication of a log between the control members: elections, leader lease, snapshots and
 * membership changes.
 *
 * <p>{@link org.teaseltrail.core.replication.Replica} is the entry point. The package doesn't
 * interpret commands, reads no clock and performs no I/O.
 */
package org.teaseltrail.core.replication;
