package org.teaseltrail.standin;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import org.reactivestreams.Publisher;
import org.teaseltrail.core.id.RequestId;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Handles HTTP calls of a plain service. The response contains the digest of the call's body, so
 * that a caller can verify that it received the response to its own call.
 */
final class ServiceCallHandler
    implements BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> {

  private static final int OK = 200;

  private final SimulatedService service;
  private final AtomicLong unnamedCalls = new AtomicLong();

  ServiceCallHandler(SimulatedService service) {
    this.service = service;
  }

  @Override
  public Publisher<Void> apply(HttpServerRequest request, HttpServerResponse response) {
    RequestId id = requestId(request);
    return request
        .receive()
        .aggregate()
        .asByteArray()
        .defaultIfEmpty(new byte[0])
        .flatMap(
            body ->
                Mono.fromFuture(() -> service.call(id))
                    .map(execution -> answer(request, id, execution, body)))
        .flatMap(answer -> JsonResponse.send(response, OK, answer));
  }

  private RequestId requestId(HttpServerRequest request) {
    String headerValue = request.requestHeaders().get("X-Request-Id");
    return new RequestId(
        headerValue == null ? "unnamed-" + unnamedCalls.incrementAndGet() : headerValue);
  }

  private static Answer answer(
      HttpServerRequest request, RequestId id, int execution, byte[] body) {
    return new Answer(id, execution, request.method().name(), request.uri(), sha256(body));
  }

  private static String sha256(byte[] body) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
    } catch (NoSuchAlgorithmException failure) {
      throw new IllegalStateException("every Java platform has SHA-256", failure);
    }
  }

  private record Answer(
      RequestId requestId, int execution, String method, String path, String bodyDigest) {}
}
