package org.teaseltrail.core.replication;

/**
 * Is an entry of the replicated log; index and term name its content for good.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that appended it
 * @param payload the content
 */
public record LogEntry(long index, long term, EntryPayload payload) {}
