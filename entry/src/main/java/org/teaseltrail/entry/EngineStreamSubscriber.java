package org.teaseltrail.entry;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
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
final class EngineStreamSubscriber extends BaseSubscriber<String> {

  /** Maximum number of lines in flight to the node thread. */
  private static final int MAX_IN_FLIGHT_LINES = 32;

  private static final int MAX_REFUSAL_BYTES = 64 * 1024;

  private final NodeEventLoop loop;
  private final CallerExchange exchange;
  private final int attempt;
  private final Consumer<EngineStreamOutcome> onEnd;
  private long processedLines;
  private boolean closed;

  EngineStreamSubscriber(
      NodeEventLoop loop,
      CallerExchange exchange,
      int attempt,
      Consumer<EngineStreamOutcome> onOutcome) {
    this.loop = loop;
    this.exchange = exchange;
    this.attempt = attempt;
    this.onEnd = onOutcome;
  }

  /**
   * Returns the lines of a response, or fails with an {@link EngineStatusException} if the status
   * isn't 200.
   */
  static Publisher<String> readLines(HttpClientResponse response, Connection connection) {
    HttpResponseStatus status = response.status();
    if (status.equals(HttpResponseStatus.OK)) {
      LineSplitter splitter = new LineSplitter();
      return connection.inbound().receive().asByteArray().concatMapIterable(splitter::split, 1);
    }
    if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
      return connection
          .inbound()
          .receive()
          .asByteArray()
          .reduceWith(ByteArrayOutputStream::new, EngineStreamSubscriber::append)
          .map(body -> body.toString(StandardCharsets.UTF_8))
          .flatMapMany(body -> Flux.error(new EngineStatusException(parseRefusal(body))));
    }
    return Flux.error(
        new EngineStatusException(
            status.equals(HttpResponseStatus.NOT_FOUND)
                ? EngineStreamOutcome.UNKNOWN
                : EngineStreamOutcome.REJECTED));
  }

  /** Without the limit, a refusal without end would be held whole. */
  private static ByteArrayOutputStream append(ByteArrayOutputStream body, byte[] part) {
    if (body.size() + part.length > MAX_REFUSAL_BYTES) {
      throw new EngineStatusException(EngineStreamOutcome.REJECTED);
    }
    body.writeBytes(part);
    return body;
  }

  private static EngineStreamOutcome parseRefusal(String body) {
    try {
      boolean notRun = JsonCodec.readObject(body).path("not_run").asBoolean(false);
      return notRun ? EngineStreamOutcome.REFUSED : EngineStreamOutcome.REJECTED;
    } catch (IOException e) {
      return EngineStreamOutcome.REJECTED;
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
      onEnd.accept(EngineStreamOutcome.BROKEN);
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
    if (!exchange.isBufferFull(this::requestMore)) {
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
    onEnd.accept(EngineStreamOutcome.BROKEN);
  }

  @Override
  protected void hookOnError(Throwable failure) {
    onEnd.accept(
        failure instanceof EngineStatusException answer
            ? answer.streamOutcome()
            : EngineStreamOutcome.BROKEN);
  }
}
