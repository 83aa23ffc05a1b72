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
 * Gives an answer back as server-sent events.
 *
 * <p>Guards against a caller who reads slowly, which would show as memory growing without bound:
 * above a number of frames not yet written, the upstream isn't read, and a caller who then reads
 * nothing for the stall timeout is let go.
 */
final class StreamedExchange extends GenerationExchange {

  private final NodeLoop loop;
  private final int bufferFrames;
  private final long stallTimeoutMs;
  private final Sinks.One<Optional<Problem>> head = Sinks.one();
  private final Sinks.Many<byte[]> events = Sinks.many().unicast().onBackpressureBuffer();
  private final AtomicInteger unwrittenFrames = new AtomicInteger();
  private volatile int takenFrames;
  private volatile boolean paused;
  private Runnable whenRoom;
  private boolean headDecided;
  private boolean abandoned;

  StreamedExchange(
      RequestId request, GenerateBody body, NodeLoop loop, int bufferFrames, long stallTimeoutMs) {
    super(request, body);
    this.loop = loop;
    this.bufferFrames = bufferFrames;
    this.stallTimeoutMs = stallTimeoutMs;
  }

  @Override
  public Publisher<Void> respond(HttpServerResponse response) {
    return ConnectionThread.of(response, head.asMono())
        .flatMap(problem -> Mono.from(answer(response, problem)));
  }

  private Publisher<Void> answer(HttpServerResponse response, Optional<Problem> problem) {
    if (problem.isPresent()) {
      return problem.get().send(response);
    }
    response.header(HttpNames.REQUEST_ID, request().value());
    return response
        .sse()
        .send(events.asFlux().doOnNext(e -> taken()).map(Unpooled::wrappedBuffer), e -> true);
  }

  private void taken() {
    takenFrames++;
    int left = unwrittenFrames.decrementAndGet();
    if (paused && left <= bufferFrames / 2) {
      loop.run(this::resumeReading);
    }
  }

  private void resumeReading() {
    Runnable task = whenRoom;
    whenRoom = null;
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
    decideHead(Optional.empty());
    emit(CallerJson.tokenEvent(frame));
  }

  private void emit(byte[] event) {
    unwrittenFrames.incrementAndGet();
    events.tryEmitNext(event);
  }

  private void decideHead(Optional<Problem> problem) {
    if (!headDecided) {
      headDecided = true;
      head.tryEmitValue(problem);
    }
  }

  @Override
  public void conclude(Outcome outcome) {
    if (!headDecided && !(outcome instanceof Outcome.Completed)) {
      decideHead(Optional.of(Problem.of(request(), outcome)));
      return;
    }
    decideHead(Optional.empty());
    emit(CallerJson.outcomeEvent(request(), outcome));
    events.tryEmitComplete();
  }

  @Override
  public void abandon() {
    abandoned = true;
    events.tryEmitError(new CallerStalledException());
    resumeReading();
  }

  @Override
  public boolean isFull(Runnable task) {
    if (abandoned || unwrittenFrames.get() < bufferFrames) {
      return false;
    }
    whenRoom = task;
    if (!paused) {
      paused = true;
      watchStall(takenFrames);
    }
    if (unwrittenFrames.get() <= bufferFrames / 2) {
      loop.run(this::resumeReading);
    }
    return true;
  }

  private void watchStall(int takenBefore) {
    loop.later(
        () -> {
          if (paused && takenFrames == takenBefore) {
            loop.handle(new EntryEvent.CallerGone(request()));
            abandon();
          } else if (paused) {
            watchStall(takenFrames);
          }
        },
        stallTimeoutMs);
  }
}
