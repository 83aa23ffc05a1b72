package org.teaseltrail.entry;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Flux;

/**
 * The response of a plain service, with a streamed body.
 *
 * @param httpStatus the HTTP status
 * @param headers the headers
 * @param body the body, read at the pace of the caller
 */
record ServiceResponse(int httpStatus, HttpHeaders headers, Flux<ByteBuf> body) {}
