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

/** Reads the lines of an engine's stream, no faster than the caller takes them. */
final class EngineLines extends BaseSubscriber<String> {

  /** Lines that may be under way to the node's thread. */
  private static final int WINDOW_LINES = 32;

  private final NodeLoop loop;
  private final CallerExchange exchange;
  private final int attempt;
  private final Consumer<EngineAnswer> onEnd;
  private long owedLines;
  private boolean closed;

  EngineLines(NodeLoop loop, CallerExchange exchange, int attempt, Consumer<EngineAnswer> onEnd) {
    this.loop = loop;
    this.exchange = exchange;
    this.attempt = attempt;
    this.onEnd = onEnd;
  }

  /** Returns the lines of an answer, or fails with what the answer says instead. */
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
          .flatMapMany(body -> Flux.error(new EngineAnswerException(refusal(body))));
    }
    return Flux.error(
        new EngineAnswerException(
            status.equals(HttpResponseStatus.NOT_FOUND)
                ? EngineAnswer.UNKNOWN
                : EngineAnswer.REJECTED));
  }

  private static EngineAnswer refusal(String body) {
    try {
      boolean notRun = Json.readObject(body).path("not_run").asBoolean(false);
      return notRun ? EngineAnswer.REFUSED : EngineAnswer.REJECTED;
    } catch (IOException e) {
      return EngineAnswer.REJECTED;
    }
  }

  @Override
  protected void hookOnSubscribe(Subscription subscription) {
    subscription.request(WINDOW_LINES);
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
    loop.run(() -> pass(frame));
  }

  private void pass(StreamFrame frame) {
    if (closed) {
      return;
    }
    loop.handle(new EntryEvent.FrameReceived(exchange.request(), attempt, frame));
    owedLines++;
    if (!exchange.isFull(this::payOwed)) {
      payOwed();
    }
  }

  private void payOwed() {
    long lines = owedLines;
    owedLines = 0;
    if (lines > 0) {
      request(lines);
    }
  }

  /**
   * Drops what is still under way; on the node's thread. A stream that merely ended isn't closed:
   * its last lines may still be on their way to the node.
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
