package org.teaseltrail.entry;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.util.function.Consumer;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscription;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.request.StreamFrame;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClientResponse;

/** Subscribes to the lines of an engine's stream, with backpressure from the caller. */
final class EngineLines extends BaseSubscriber<String> {

  /** Maximum number of lines in flight to the node thread. */
  private static final int MAX_IN_FLIGHT_LINES = 32;

  private final NodeLoop loop;
  private final CallerExchange exchange;
  private final int attempt;
  private final Consumer<EngineAnswer> onEnd;
  private long processedLines;
  private boolean closed;

  EngineLines(NodeLoop loop, CallerExchange exchange, int attempt, Consumer<EngineAnswer> onEnd) {
    this.loop = loop;
    this.exchange = exchange;
    this.attempt = attempt;
    this.onEnd = onEnd;
  }

  /**
   * Returns the lines of a response, or fails with an {@link EngineAnswerException} if the status
   * isn't 200.
   */
  static Publisher<String> read(HttpClientResponse response, Connection connection) {
    HttpResponseStatus status = response.status();
    if (status.equals(HttpResponseStatus.OK)) {
      LineSplitter splitter = new LineSplitter();
      return connection.inbound().receive().asByteArray().concatMapIterable(splitter::split, 1);
    }
    if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
      return connection
          .inbound()
          .receive()
          .aggregate()
          .asString()
          .defaultIfEmpty("")
          .flatMapMany(body -> Flux.error(new EngineAnswerException(parseRefusal(body))));
    }
    return Flux.error(
        new EngineAnswerException(
            status.equals(HttpResponseStatus.NOT_FOUND)
                ? EngineAnswer.UNKNOWN
                : EngineAnswer.REJECTED));
  }

  private static EngineAnswer parseRefusal(String body) {
    try {
      boolean notRun = Json.readObject(body).path("not_run").asBoolean(false);
      return notRun ? EngineAnswer.REFUSED : EngineAnswer.REJECTED;
    } catch (IOException e) {
      return EngineAnswer.REJECTED;
    }
  }

  @Override
  protected void hookOnSubscribe(Subscription subscription) {
    subscription.request(MAX_IN_FLIGHT_LINES);
  }

  @Override
  protected void hookOnNext(String line) {
    StreamFrame frame;
    try {
      frame = FrameParser.parse(line);
    } catch (MalformedFrameException e) {
      cancel();
      onEnd.accept(EngineAnswer.BROKEN);
      return;
    }
    loop.run(() -> handleFrame(frame));
  }

  private void handleFrame(StreamFrame frame) {
    if (closed) {
      return;
    }
    loop.handle(new EntryEvent.FrameReceived(exchange.request(), attempt, frame));
    processedLines++;
    if (!exchange.isFull(this::requestMore)) {
      requestMore();
    }
  }

  private void requestMore() {
    long lines = processedLines;
    processedLines = 0;
    if (lines > 0) {
      request(lines);
    }
  }

  /**
   * Drops the lines still in flight. Runs on the node thread. A stream that has merely ended must
   * not be closed, since its last lines may still be in flight to the node.
   */
  void close() {
    closed = true;
    dispose();
  }

  @Override
  protected void hookOnComplete() {
    onEnd.accept(EngineAnswer.BROKEN);
  }

  @Override
  protected void hookOnError(Throwable failure) {
    onEnd.accept(
        failure instanceof EngineAnswerException answer ? answer.answer() : EngineAnswer.BROKEN);
  }
}
