package org.teaseltrail.wire;

/**
 * Says what a process speaks on a connection, and who hears it there.
 *
 * @param speaker the kind of process that opens the connection
 * @param inType the sealed interface of what comes in
 * @param outType the sealed interface of what goes out
 * @param listener hears what happens
 * @param <I> the sealed interface of what comes in
 * @param <O> the sealed interface of what goes out
 */
public record FrameEndpoint<I, O>(
    SpeakerKind speaker, Class<I> inType, Class<O> outType, FrameListener<I, O> listener) {}
