package org.teaseltrail.core.stream;

/**
 * A stream that an entry VM has begun to forward.
 *
 * @param key the stream
 * @param origin what wrote its first event
 * @param retentionMs how long its caller may still take it up, in milliseconds
 */
public record BegunStream(StreamKey key, StreamOrigin origin, long retentionMs) {}
