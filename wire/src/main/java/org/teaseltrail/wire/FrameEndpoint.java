package org.teaseltrail.wire;

/**
 * Message types and listener of one side of a connection.
 *
 * @param speaker type of the client that opens the connection
 * @param inboundType the sealed interface of inbound messages
 * @param outboundType the sealed interface of outbound messages
 * @param listener receives the events of the connections
 * @param <I> the sealed interface of inbound messages
 * @param <O> the sealed interface of outbound messages
 */
public record FrameEndpoint<I, O>(
    ClientType speaker,
    Class<I> inboundType,
    Class<O> outboundType,
    FrameListener<I, O> listener) {}
