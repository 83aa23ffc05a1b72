package org.teaseltrail.entry;

import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Moves responses to the event loop of their connection.
 *
 * <p>A response written from the node thread could overlap with the event loop still reading the
 * end of the request. Rarely, on a busy machine, the next request on that connection is then never
 * read. Running both on one thread rules out the overlap.
 */
final class ConnectionScheduler {

  private ConnectionScheduler() {}

  /** Publishes the value on the event loop of the response's connection. */
  static <T> Mono<T> publishOnEventLoop(HttpServerResponse response, Mono<T> value) {
    AtomicReference<Executor> eventLoop = new AtomicReference<>();
    response.withConnection(connection -> eventLoop.set(connection.channel().eventLoop()));
    return value.publishOn(Schedulers.fromExecutor(eventLoop.get()));
  }
}
