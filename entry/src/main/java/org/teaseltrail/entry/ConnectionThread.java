package org.teaseltrail.entry;

import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Sends answers on the thread of their connection.
 *
 * <p>Guards against a connection that stalls for ever: when an answer is sent from another thread,
 * the caller's next request on the same connection can arrive before the server has marked the
 * answer as ended, and is then never read. It shows as a caller without any answer, on a connection
 * that not even the idle timeout closes. On the connection's own thread, the end of an answer and
 * the reading of the next request can't overlap.
 */
final class ConnectionThread {

  private ConnectionThread() {}

  /**
   * Puts the sending of an answer on its connection's thread.
   *
   * @param response the answer
   * @param sending sends it when subscribed to
   * @return the same, subscribed to on that thread
   */
  static Mono<Void> send(HttpServerResponse response, Publisher<Void> sending) {
    AtomicReference<Executor> eventLoop = new AtomicReference<>();
    response.withConnection(connection -> eventLoop.set(connection.channel().eventLoop()));
    return Mono.from(sending).subscribeOn(Schedulers.fromExecutor(eventLoop.get()));
  }
}
