package org.teaseltrail.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads complete request bodies, up to a maximum size and within a timeout. */
final class BodyReader {

  private final int maxBodyBytes;
  private final Duration timeout;

  BodyReader(int maxBodyBytes, long timeoutMs) {
    this.maxBodyBytes = maxBodyBytes;
    this.timeout = Duration.ofMillis(timeoutMs);
  }

  /**
   * Reads the body of a request.
   *
   * <p>Buffers at most the maximum size, for at most the timeout. Otherwise callers that send an
   * endless body, or send very slowly, would exhaust memory and connections.
   */
  Mono<byte[]> read(HttpServerRequest request) {
    if (declaredBytes(request) > maxBodyBytes) {
      return Mono.error(tooLarge());
    }
    return request
        .receive()
        .asByteArray()
        .reduceWith(ByteArrayOutputStream::new, this::append)
        .map(ByteArrayOutputStream::toByteArray)
        .timeout(timeout)
        .onErrorMap(
            TimeoutException.class,
            e -> new RefusedRequestException(ProblemKind.BODY_TIMEOUT, "the body came too slowly"));
  }

  private static long declaredBytes(HttpServerRequest request) {
    String text = request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH, "0");
    return text.matches("\\d{1,18}") ? Long.parseLong(text) : 0;
  }

  private ByteArrayOutputStream append(ByteArrayOutputStream body, byte[] part) {
    if (body.size() + part.length > maxBodyBytes) {
      throw tooLarge();
    }
    body.writeBytes(part);
    return body;
  }

  private RefusedRequestException tooLarge() {
    return new RefusedRequestException(
        ProblemKind.BODY_TOO_LARGE, "the body is longer than " + maxBodyBytes + " bytes");
  }
}
