package org.teaseltrail.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.standin.model.EngineModel;
import org.teaseltrail.standin.model.EngineRequest;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;

/**
 * Publishes the frames of streams to their readers, with backpressure. Not thread-safe: must be
 * used on the model's thread only.
 *
 * <p>A slow or stalled reader doesn't cause unbounded memory use. A reader stores only the number
 * of its next frame; the frames are kept once for all readers in the model, where the length of the
 * answer bounds them.
 */
final class StreamPublisher {

  private final EngineModel model;
  private final Map<RequestId, List<Reader>> readers = new HashMap<>();

  StreamPublisher(EngineModel model) {
    this.model = model;
  }

  /** Returns the lines of a stream, starting at a frame, no faster than the reader's demand. */
  Flux<String> read(EngineRequest request, int fromSequence, ModelThread thread) {
    return Flux.create(
        sink -> thread.run(() -> attach(new Reader(request, fromSequence, sink), thread)),
        FluxSink.OverflowStrategy.ERROR);
  }

  /** Sends the new frames of a stream to its readers. */
  void onNewFrames(RequestId request) {
    List.copyOf(readers.getOrDefault(request, List.of())).forEach(this::emitAvailable);
  }

  /** Ends an incomplete stream with an error line. */
  void abort(RequestId request) {
    List<Reader> aborted = readers.remove(request);
    if (aborted != null) {
      aborted.forEach(Reader::fail);
    }
  }

  boolean isEmpty() {
    return readers.isEmpty();
  }

  private void attach(Reader reader, ModelThread thread) {
    readers.computeIfAbsent(reader.request.id(), id -> new ArrayList<>()).add(reader);
    reader.sink.onDispose(() -> thread.run(() -> detach(reader)));
    reader.sink.onRequest(wanted -> thread.run(() -> emitAvailable(reader)));
    emitAvailable(reader);
  }

  private void detach(Reader reader) {
    readers.computeIfPresent(
        reader.request.id(),
        (id, list) -> {
          list.remove(reader);
          return list.isEmpty() ? null : list;
        });
  }

  private void emitAvailable(Reader reader) {
    while (!reader.ended && reader.sink.requestedFromDownstream() > 0) {
      var frame = model.frame(reader.request.id(), reader.nextSequence);
      if (frame.isEmpty()) {
        return;
      }
      reader.nextSequence++;
      reader.sink.next(StreamLineFormatter.formatFrame(frame.get(), reader.request.answerSeed()));
      if (frame.get().isEnd()) {
        reader.ended = true;
        reader.sink.complete();
      }
    }
  }

  /** Runs tasks on the model's thread. */
  @FunctionalInterface
  interface ModelThread {
    void run(Runnable task);
  }

  private static final class Reader {

    private final EngineRequest request;
    private final FluxSink<String> sink;
    private int nextSequence;
    private boolean ended;

    Reader(EngineRequest request, int fromSequence, FluxSink<String> sink) {
      this.request = request;
      this.nextSequence = fromSequence;
      this.sink = sink;
    }

    void fail() {
      ended = true;
      sink.next(StreamLineFormatter.failure(request.id(), nextSequence));
      sink.complete();
    }
  }
}
