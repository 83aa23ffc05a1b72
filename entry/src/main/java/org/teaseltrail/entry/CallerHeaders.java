package org.teaseltrail.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.IdempotencyKey;
import org.teaseltrail.core.id.InvalidIdException;
import reactor.netty.http.server.HttpServerRequest;

/** Reads the headers of a caller's request. */
final class CallerHeaders {

  private static final String BEARER = "bearer ";

  private CallerHeaders() {}

  /** Refuses a request whose URI and headers together exceed the maximum size. */
  static void checkSize(HttpServerRequest request, int maxHeaderBytes) {
    int sizeBytes = request.uri().length();
    for (Map.Entry<String, String> header : request.requestHeaders()) {
      sizeBytes += header.getKey().length() + header.getValue().length();
    }
    if (sizeBytes > maxHeaderBytes) {
      throw new RefusedRequestException(
          ProblemKind.HEADERS_TOO_LARGE, "the head is longer than " + maxHeaderBytes + " bytes");
    }
  }

  /** Returns the hash of the API key from the {@code Authorization} header, if present. */
  static Optional<String> keyHash(HttpHeaders headers) {
    return Optional.ofNullable(headers.get(HttpHeaderNames.AUTHORIZATION))
        .filter(value -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
        .map(value -> value.substring(BEARER.length()).trim())
        .filter(key -> !key.isEmpty())
        .map(Sha256Hex::ofText);
  }

  static Optional<IdempotencyKey> idempotencyKey(HttpHeaders headers) {
    try {
      return Optional.ofNullable(headers.get(HttpConstants.IDEMPOTENCY_KEY))
          .map(IdempotencyKey::new);
    } catch (InvalidIdException e) {
      throw new RefusedRequestException(ProblemKind.MALFORMED_REQUEST, e.getMessage());
    }
  }

  static Optional<Long> lastEventId(HttpHeaders headers) {
    String text = headers.get(HttpConstants.LAST_EVENT_ID);
    if (text == null || text.isEmpty()) {
      return Optional.empty();
    }
    if (!text.matches("\\d{1,9}")) {
      throw new RefusedRequestException(
          ProblemKind.MALFORMED_REQUEST, "Last-Event-ID must be the id of an event");
    }
    return Optional.of(Long.valueOf(text));
  }
}
