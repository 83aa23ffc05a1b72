package org.teaseltrail.entry;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.reactivestreams.Publisher;
import org.teaseltrail.core.entry.CallTarget;
import org.teaseltrail.core.entry.CallerCall;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.id.InvalidIdException;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.request.NotRunReason;
import org.teaseltrail.core.request.Outcome;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Handles callers' HTTP requests: generations and calls of plain services. */
final class CallerHandler {

  /** Outcome of requests that arrive after the node has failed, until the process ends. */
  private static final Outcome NOT_ADMITTED = new Outcome.NotRun(NotRunReason.NOT_ADMITTING, 1_000);

  /** Path prefix of plain services. */
  static final String SERVICES_PATH = "/v1/services/";

  private final EntryOptions options;
  private final NodeEventLoop loop;
  private final ExchangeRegistry exchanges;
  private final BodyReader bodies;
  private final RequestIdGenerator ids;
  private final OpenResponseTracker responses;

  CallerHandler(EntryOptions options, DaemonComponents parts, BodyReader bodies) {
    this.options = options;
    this.loop = parts.loop();
    this.exchanges = parts.exchanges();
    this.bodies = bodies;
    this.responses = parts.responses();
    this.ids = new RequestIdGenerator(options.node().vm(), options.node().incarnation());
  }

  Publisher<Void> generate(HttpServerRequest request, HttpServerResponse response) {
    HttpHeaders headers = request.requestHeaders().copy();
    return bodies
        .read(request)
        .defaultIfEmpty(new byte[0])
        .flatMap(
            bytes -> {
              GenerateRequest body = GenerateRequest.parse(bytes, options.limits());
              return serve(createExchange(body), generateCall(headers, body), response);
            });
  }

  private CallerExchange createExchange(GenerateRequest body) {
    return body.stream()
        ? new StreamingExchange(
            ids.next(), body, loop, options.bufferFrames(), options.stallTimeoutMs())
        : new BufferedExchange(ids.next(), body, loop, options.limits().maxAnswerBytes());
  }

  private static CallerCall generateCall(HttpHeaders headers, GenerateRequest body) {
    CallTarget target =
        new CallTarget.Generation(
            body.model(),
            body.version(),
            body.adapter(),
            body.prompt().getBytes(StandardCharsets.UTF_8),
            body.maxTokens());
    return new CallerCall(
        CallerHeaders.keyHash(headers),
        target,
        body.idempotent(),
        CallerHeaders.idempotencyKey(headers),
        body.digest(),
        body.deadlineMs(),
        body.stream() ? CallerHeaders.lastEventId(headers) : Optional.empty());
  }

  Publisher<Void> service(HttpServerRequest request, HttpServerResponse response) {
    HttpHeaders headers = request.requestHeaders().copy();
    String serviceAndPath = request.uri().substring(SERVICES_PATH.length());
    String name = serviceAndPath.split("[/?]", 2)[0];
    String path = serviceAndPath.substring(name.length());
    ServiceId service = serviceId(name);
    return bodies
        .read(request)
        .defaultIfEmpty(new byte[0])
        .flatMap(
            bytes -> {
              ServiceRequest asked =
                  new ServiceRequest(
                      service,
                      request.method(),
                      path.startsWith("/") ? path : "/" + path,
                      headers,
                      bytes);
              ServiceExchange exchange = new ServiceExchange(ids.next(), asked, response);
              return serve(exchange, serviceCall(headers, asked), response);
            });
  }

  private static ServiceId serviceId(String name) {
    try {
      return new ServiceId(name);
    } catch (InvalidIdException e) {
      throw new RefusedRequestException(ProblemKind.UNKNOWN_PATH, e.getMessage());
    }
  }

  private static CallerCall serviceCall(HttpHeaders headers, ServiceRequest asked) {
    return new CallerCall(
        CallerHeaders.keyHash(headers),
        new CallTarget.ServiceCall(asked.service(), asked.method().name()),
        true,
        CallerHeaders.idempotencyKey(headers),
        asked.digest(),
        0,
        Optional.empty());
  }

  private Mono<Void> serve(CallerExchange exchange, CallerCall call, HttpServerResponse response) {
    RequestId id = exchange.request();
    loop.run(
        () -> {
          if (loop.failure().isDone()) {
            exchange.conclude(NOT_ADMITTED);
            return;
          }
          exchanges.add(exchange);
          loop.handle(new EntryEvent.RequestArrived(id, call));
        });
    return responses.track(
        Mono.from(exchange.respond(response))
            .doOnCancel(() -> onDisconnect(exchange))
            .doOnError(failure -> onDisconnect(exchange)));
  }

  private void onDisconnect(CallerExchange exchange) {
    loop.run(
        () -> {
          exchange.abandon();
          loop.handle(new EntryEvent.CallerGone(exchange.request()));
        });
  }
}
