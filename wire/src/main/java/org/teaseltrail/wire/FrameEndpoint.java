package org.teaseltrail.wire;

/**
 * Message types and listener of one side of a connection.
 *
 * @param speaker type of the client that opens the connection
 * @param inType the sealed interface of inbound messages
 * @param outType the sealed interface of outbound messages
 * @param listener receives the events of the connections
 * @param <I> the sealed interface of inbound messages
 * @param <O> the sealed interface of outbound messages
 */
public record FrameEndpoint<I, O>(
    SpeakerKind speaker, Class<I> inType, Class<O> outType, FrameListener<I, O> listener) {}
