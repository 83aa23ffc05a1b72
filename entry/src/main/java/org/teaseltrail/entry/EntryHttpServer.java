package org.teaseltrail.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import org.reactivestreams.Publisher;
import org.teaseltrail.runtime.log.ComponentLogger;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The HTTP server for callers and upstreams, which routes each request to its handler. */
final class EntryHttpServer {

  private static final ComponentLogger LOGGER = new ComponentLogger("entry");

  /**
   * Maximum header size in the decoder. It exceeds the configured limit, so that larger headers can
   * be refused with a problem document.
   */
  private static final int DECODER_HEADER_BYTES = 64 * 1024;

  private static final Duration IDLE = Duration.ofSeconds(75);

  private final EntryOptions options;
  private final CallerHandler callers;
  private final UpstreamHandler upstreams;
  private final StatusHandler status;

  EntryHttpServer(EntryOptions options, DaemonComponents parts) {
    BodyReader bodies = new BodyReader(options.limits().maxBodyBytes(), options.bodyTimeoutMs());
    this.options = options;
    this.callers = new CallerHandler(options, parts, bodies);
    this.upstreams = new UpstreamHandler(bodies, parts.pendingVerdicts());
    this.status = new StatusHandler(parts);
  }

  /** Starts listening. */
  DisposableServer listen() {
    return HttpServer.create()
        .bindAddress(options::listen)
        .idleTimeout(IDLE)
        .httpRequestDecoder(
            spec ->
                spec.maxInitialLineLength(DECODER_HEADER_BYTES).maxHeaderSize(DECODER_HEADER_BYTES))
        .handle(this::handle)
        .bindNow();
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    return Mono.defer(() -> Mono.from(route(request, response)))
        .onErrorResume(failure -> Mono.from(refuse(failure, response)));
  }

  private Publisher<Void> route(HttpServerRequest request, HttpServerResponse response) {
    CallerHeaders.checkSize(request, options.limits().maxHeaderBytes());
    String uri = request.uri();
    if (uri.startsWith(CallerHandler.SERVICES_PATH)) {
      return callers.service(request, response);
    }
    if (uri.startsWith(StatusHandler.REQUESTS_PATH)) {
      requireMethod(request, HttpMethod.GET);
      return status.request(request, response);
    }
    return switch (uri.split("\\?", 2)[0]) {
      case "/v1/generate" -> {
        requireMethod(request, HttpMethod.POST);
        yield callers.generate(request, response);
      }
      case "/v1/upstreams/announce" -> {
        requireMethod(request, HttpMethod.POST);
        yield upstreams.announce(request, response);
      }
      case "/v1/upstreams/cache-events" -> {
        requireMethod(request, HttpMethod.POST);
        yield upstreams.cacheEvents(request, response);
      }
      case "/healthz" -> status.health(request, response);
      case "/readyz" -> status.ready(request, response);
      case "/metrics" -> status.metrics(request, response);
      default ->
          throw new RefusedRequestException(ProblemKind.UNKNOWN_PATH, "see the callers' page");
    };
  }

  private static void requireMethod(HttpServerRequest request, HttpMethod method) {
    if (!request.method().equals(method)) {
      throw new RefusedRequestException(ProblemKind.METHOD_NOT_ALLOWED, "use " + method);
    }
  }

  private static Publisher<Void> refuse(Throwable failure, HttpServerResponse response) {
    if (response.hasSentHeaders()) {
      return Mono.error(failure);
    }
    if (failure instanceof RefusedRequestException refused) {
      if (leavesBodyUnread(refused.kind())) {
        response.header(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        response.withConnection(
            connection -> connection.channel().pipeline().addFirst(new LingeringClose()));
      }
      return ProblemDetails.of(refused.kind(), refused.getMessage()).send(response);
    }
    LOGGER.warn("A request failed: " + failure + ".");
    return ProblemDetails.of(ProblemKind.INTERNAL, "see the VM's log").send(response);
  }

  private static boolean leavesBodyUnread(ProblemKind kind) {
    return kind == ProblemKind.BODY_TOO_LARGE || kind == ProblemKind.BODY_TIMEOUT;
  }
}
