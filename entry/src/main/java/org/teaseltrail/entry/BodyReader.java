package org.teaseltrail.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads whole bodies up to a limit of size and time. */
final class BodyReader {

  private final int maxBodyBytes;
  private final Duration timeout;

  BodyReader(int maxBodyBytes, long timeoutMs) {
    this.maxBodyBytes = maxBodyBytes;
    this.timeout = Duration.ofMillis(timeoutMs);
  }

  /**
   * Reads a body.
   *
   * <p>Guards against callers who send without end or hardly at all, which would show as memory and
   * connections used up: at most the limit is held, for at most the time.
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
