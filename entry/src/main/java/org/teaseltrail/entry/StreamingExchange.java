package org.teaseltrail.entry;

import io.netty.buffer.Unpooled;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.reactivestreams.Publisher;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.request.StreamFrame;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.server.HttpServerResponse;

/**
 * An exchange that streams the response as server-sent events.
 *
 * <p>A slow caller must not make memory grow without bound. When the number of unwritten frames
 * reaches the maximum, reading from the upstream pauses, and a caller that then reads nothing for
 * the stall timeout is disconnected.
 */
final class StreamingExchange extends GenerationExchange {

  private final NodeEventLoop loop;
  private final int bufferFrames;
  private final long stallTimeoutMs;
  private final Sinks.One<Optional<ProblemDetails>> responseStart = Sinks.one();
  private final Sinks.Many<byte[]> events = Sinks.many().unicast().onBackpressureBuffer();
  private final AtomicInteger unwrittenEvents = new AtomicInteger();
  private volatile int writtenEvents;
  private volatile boolean paused;
  private Runnable onCapacity;
  private boolean responseStarted;
  private boolean abandoned;

  StreamingExchange(
      RequestId request,
      GenerateRequest body,
      NodeEventLoop loop,
      int bufferFrames,
      long stallTimeoutMs) {
    super(request, body);
    this.loop = loop;
    this.bufferFrames = bufferFrames;
    this.stallTimeoutMs = stallTimeoutMs;
  }

  @Override
  public Publisher<Void> respond(HttpServerResponse response) {
    return ConnectionScheduler.publishOnEventLoop(response, responseStart.asMono())
        .flatMap(problem -> Mono.from(writeResponse(response, problem)));
  }

  private Publisher<Void> writeResponse(
      HttpServerResponse response, Optional<ProblemDetails> problem) {
    if (problem.isPresent()) {
      return problem.get().send(response);
    }
    response.header(HttpConstants.REQUEST_ID, request().value());
    return response
        .sse()
        .send(
            events.asFlux().doOnNext(e -> onEventWritten()).map(Unpooled::wrappedBuffer),
            e -> true);
  }

  private void onEventWritten() {
    writtenEvents++;
    int remaining = unwrittenEvents.decrementAndGet();
    if (paused && remaining <= bufferFrames / 2) {
      loop.run(this::resumeReading);
    }
  }

  private void resumeReading() {
    Runnable task = onCapacity;
    onCapacity = null;
    paused = false;
    if (task != null) {
      task.run();
    }
  }

  @Override
  public void deliver(StreamFrame.Text frame) {
    if (abandoned) {
      return;
    }
    startResponse(Optional.empty());
    emit(ResponseSerializer.tokenEvent(frame));
  }

  private void emit(byte[] event) {
    unwrittenEvents.incrementAndGet();
    events.tryEmitNext(event);
  }

  private void startResponse(Optional<ProblemDetails> problem) {
    if (!responseStarted) {
      responseStarted = true;
      responseStart.tryEmitValue(problem);
    }
  }

  @Override
  public void conclude(Outcome outcome) {
    if (!responseStarted && !(outcome instanceof Outcome.Completed)) {
      startResponse(Optional.of(ProblemDetails.of(request(), outcome)));
      return;
    }
    startResponse(Optional.empty());
    emit(ResponseSerializer.outcomeEvent(request(), outcome));
    events.tryEmitComplete();
  }

  @Override
  public void abandon() {
    abandoned = true;
    events.tryEmitError(new CallerStalledException());
    resumeReading();
  }

  @Override
  public boolean isBufferFull(Runnable task) {
    if (abandoned || unwrittenEvents.get() < bufferFrames) {
      return false;
    }
    onCapacity = task;
    if (!paused) {
      paused = true;
      scheduleStallCheck(writtenEvents);
    }
    if (unwrittenEvents.get() <= bufferFrames / 2) {
      loop.run(this::resumeReading);
    }
    return true;
  }

  private void scheduleStallCheck(int writtenBefore) {
    loop.scheduleAfter(
        () -> {
          if (paused && writtenEvents == writtenBefore) {
            loop.handle(new EntryEvent.CallerGone(request()));
            abandon();
          } else if (paused) {
            scheduleStallCheck(writtenEvents);
          }
        },
        stallTimeoutMs);
  }
}
