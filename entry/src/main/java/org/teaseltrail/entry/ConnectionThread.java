package org.teaseltrail.entry;

import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Brings answers back to the thread of their connection.
 *
 * <p>Guards against an answer that is written from the node's thread while the connection's thread
 * still reads the end of the request. It shows, rarely and on a busy machine, as a connection whose
 * next request is never read. With one thread for both, the two can't overlap.
 */
final class ConnectionThread {

  private ConnectionThread() {}

  /** Returns the same value, on the thread of the response's connection. */
  static <T> Mono<T> of(HttpServerResponse response, Mono<T> value) {
    AtomicReference<Executor> thread = new AtomicReference<>();
    response.withConnection(connection -> thread.set(connection.channel().eventLoop()));
    return value.publishOn(Schedulers.fromExecutor(thread.get()));
  }
}
