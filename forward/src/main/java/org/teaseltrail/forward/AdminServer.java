package org.teaseltrail.forward;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.teaseltrail.runtime.metrics.Metrics;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

/** An HTTP server with a single endpoint about the process: its readiness or its metrics. */
final class AdminServer implements AutoCloseable {

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final DisposableServer server;

  private AdminServer(DisposableServer server) {
    this.server = server;
  }

  /** Starts a server that reports whether the VM is ready for callers. */
  static AdminServer readiness(
      LoopResources loops, InetSocketAddress address, String path, BooleanSupplier ready) {
    return new AdminServer(
        HttpServer.create()
            .runOn(loops)
            .bindAddress(() -> address)
            .route(
                routes ->
                    routes.get(
                        path,
                        (request, response) ->
                            response.status(ready.getAsBoolean() ? OK : UNAVAILABLE).send()))
            .bindNow());
  }

  /** Starts a server that exposes metrics. */
  static AdminServer metrics(
      LoopResources loops, InetSocketAddress address, Supplier<String> metrics) {
    return new AdminServer(
        HttpServer.create()
            .runOn(loops)
            .bindAddress(() -> address)
            .route(
                routes ->
                    routes.get(
                        "/metrics",
                        (request, response) ->
                            response
                                .header("Content-Type", Metrics.CONTENT_TYPE)
                                .sendString(Mono.fromSupplier(metrics))))
            .bindNow());
  }

  @Override
  public void close() {
    server.disposeNow();
  }
}
