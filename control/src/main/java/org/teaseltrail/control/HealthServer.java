package org.teaseltrail.control;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.reactivestreams.Publisher;
import org.teaseltrail.runtime.metrics.Metrics;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerResponse;

/** HTTP server for health checks and metrics. */
final class HealthServer implements AutoCloseable {

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final DisposableServer server;

  HealthServer(InetSocketAddress address, BooleanSupplier ready, Supplier<String> metrics) {
    server =
        HttpServer.create()
            .bindAddress(() -> address)
            .route(
                routes ->
                    routes
                        .get("/healthz", (request, response) -> text(response, OK, "alive"))
                        .get("/readyz", (request, response) -> ready(response, ready))
                        .get(
                            "/metrics",
                            (request, response) ->
                                response
                                    .header("Content-Type", Metrics.CONTENT_TYPE)
                                    .sendString(Mono.fromSupplier(metrics))))
            .bindNow();
  }

  @Override
  public void close() {
    server.disposeNow();
  }

  private static Publisher<Void> ready(HttpServerResponse response, BooleanSupplier ready) {
    boolean isReady = ready.getAsBoolean();
    return text(response, isReady ? OK : UNAVAILABLE, isReady ? "ready" : "no leader known");
  }

  private static Publisher<Void> text(HttpServerResponse response, int status, String text) {
    return response.status(status).sendString(Mono.just(text + "\n"));
  }
}
