package org.teaseltrail.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Locale;
import java.util.Optional;
import org.reactivestreams.Publisher;
import org.teaseltrail.core.entry.RequestStatus;
import org.teaseltrail.core.id.InvalidIdException;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.runtime.metrics.Metrics;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Serves the status of requests, health and readiness checks, and metrics. */
final class StatusHandler {

  /** Path prefix of request statuses. */
  static final String REQUESTS_PATH = "/v1/requests/";

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final NodeEventLoop loop;
  private final EntryMetrics metrics;

  StatusHandler(DaemonComponents parts) {
    this.loop = parts.loop();
    this.metrics = parts.metrics();
  }

  Publisher<Void> request(HttpServerRequest request, HttpServerResponse response) {
    Optional<String> keyHash = CallerHeaders.keyHash(request.requestHeaders());
    RequestId id = requestId(request.uri().substring(REQUESTS_PATH.length()));
    return ConnectionScheduler.publishOnEventLoop(response, loop.query(() -> state(id, keyHash)))
        .flatMap(
            state ->
                response
                    .header(HttpHeaderNames.CONTENT_TYPE, HttpConstants.JSON)
                    .header(HttpConstants.REQUEST_ID, id.value())
                    .sendByteArray(Mono.just(JsonCodec.bytes(state)))
                    .then());
  }

  private static RequestId requestId(String text) {
    try {
      return new RequestId(text);
    } catch (InvalidIdException e) {
      throw new RefusedRequestException(ProblemKind.UNKNOWN_REQUEST, e.getMessage());
    }
  }

  private ObjectNode state(RequestId id, Optional<String> keyHash) {
    if (!loop.node().isCustomer(keyHash)) {
      throw new RefusedRequestException(ProblemKind.UNAUTHENTICATED, "send a customer's key");
    }
    RequestStatus request =
        loop.node()
            .findOwnedRequest(id, keyHash)
            .orElseThrow(
                () ->
                    new RefusedRequestException(
                        ProblemKind.UNKNOWN_REQUEST, "ask the VM that took the request"));
    ObjectNode json = JsonCodec.createObject();
    json.put("request_id", id.value());
    json.put("state", request.state().name().toLowerCase(Locale.ROOT));
    request.outcome().ifPresent(outcome -> json.put("outcome", ResponseSerializer.name(outcome)));
    request.upstream().ifPresent(upstream -> json.put("upstream", upstream.value()));
    return json;
  }

  Publisher<Void> health(HttpServerRequest request, HttpServerResponse response) {
    return response.status(OK).sendString(Mono.just("ok\n"));
  }

  Publisher<Void> ready(HttpServerRequest request, HttpServerResponse response) {
    return ConnectionScheduler.publishOnEventLoop(response, loop.query(loop::isReady))
        .flatMap(
            ready ->
                response
                    .status(ready ? OK : UNAVAILABLE)
                    .sendString(Mono.just(ready ? "ready\n" : "not ready\n"))
                    .then());
  }

  Publisher<Void> metrics(HttpServerRequest request, HttpServerResponse response) {
    response.header(HttpHeaderNames.CONTENT_TYPE, Metrics.CONTENT_TYPE);
    return response.sendString(Mono.fromCallable(metrics::scrape));
  }
}
