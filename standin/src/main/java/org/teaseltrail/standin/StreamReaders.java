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
 * Hands frames to those who read streams. To be used on the model's thread only.
 *
 * <p>Guards against a reader that reads slowly or not at all, which would show as memory growing
 * with each frame that waits for it. The guard holds because a reader only keeps the number of its
 * next frame: frames wait in the model, once for all readers, and are bounded there by the length
 * of the answer.
 */
final class StreamReaders {

  private final EngineModel model;
  private final Map<RequestId, List<Reader>> readers = new HashMap<>();

  StreamReaders(EngineModel model) {
    this.model = model;
  }

  /** Returns the lines of a stream from a frame on, no faster than they are asked for. */
  Flux<String> read(EngineRequest request, int fromSequence, ModelThread thread) {
    return Flux.create(
        sink -> thread.run(() -> attach(new Reader(request, fromSequence, sink), thread)),
        FluxSink.OverflowStrategy.ERROR);
  }

  /** Passes on what is new in a stream. */
  void wake(RequestId request) {
    List.copyOf(readers.getOrDefault(request, List.of())).forEach(this::pump);
  }

  /** Ends a stream that will not be whole, with a line that says so. */
  void breakOff(RequestId request) {
    List<Reader> left = readers.remove(request);
    if (left != null) {
      left.forEach(Reader::fail);
    }
  }

  boolean isEmpty() {
    return readers.isEmpty();
  }

  private void attach(Reader reader, ModelThread thread) {
    readers.computeIfAbsent(reader.request.id(), id -> new ArrayList<>()).add(reader);
    reader.sink.onDispose(() -> thread.run(() -> detach(reader)));
    reader.sink.onRequest(wanted -> thread.run(() -> pump(reader)));
    pump(reader);
  }

  private void detach(Reader reader) {
    readers.computeIfPresent(
        reader.request.id(),
        (id, list) -> {
          list.remove(reader);
          return list.isEmpty() ? null : list;
        });
  }

  private void pump(Reader reader) {
    while (!reader.ended && reader.sink.requestedFromDownstream() > 0) {
      var frame = model.frame(reader.request.id(), reader.nextSequence);
      if (frame.isEmpty()) {
        return;
      }
      reader.nextSequence++;
      reader.sink.next(StreamLines.of(frame.get(), reader.request.answerSeed()));
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
      sink.next(StreamLines.failure(request.id(), nextSequence));
      sink.complete();
    }
  }
}
