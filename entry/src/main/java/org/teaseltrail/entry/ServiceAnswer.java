package org.teaseltrail.entry;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Flux;

/**
 * Is the answer of a plain service, as it comes.
 *
 * @param httpStatus its status
 * @param headers its headers
 * @param body its body, read as the caller takes it
 */
record ServiceAnswer(int httpStatus, HttpHeaders headers, Flux<ByteBuf> body) {}
