package org.teaseltrail.entry;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.reactivestreams.Publisher;
import org.teaseltrail.core.upstream.SocketAddress;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** An engine and plain service with scripted responses. */
final class FakeEngine implements AutoCloseable {

  final Queue<String> calls = new ConcurrentLinkedQueue<>();
  volatile long frames = 3;
  volatile long disconnectAfterFrames = Long.MAX_VALUE;
  volatile boolean rejectsRequests;
  volatile String padding = "";
  volatile long pauseAfterFrames = Long.MAX_VALUE;
  final AtomicLong generatedLines = new AtomicLong();
  private final Sinks.Empty<Void> resumeSignal = Sinks.empty();
  private final DisposableServer server;

  FakeEngine() {
    server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .route(
                routes ->
                    routes
                        .post("/v1/streams", this::start)
                        .get("/v1/streams/{id}", this::resume)
                        .delete("/v1/streams/{id}", this::cancel)
                        .post("/certificates", this::certificate)
                        .get("/certificates", this::certificate))
            .bindNow();
  }

  SocketAddress address() {
    return new SocketAddress("127.0.0.1", server.port());
  }

  long count(String prefix) {
    return calls.stream().filter(call -> call.startsWith(prefix)).count();
  }

  private Publisher<Void> start(HttpServerRequest request, HttpServerResponse response) {
    String id = request.requestHeaders().get("X-Request-Id");
    calls.add("POST " + id);
    return request.receive().aggregate().asString().flatMap(b -> Mono.from(answer(id, response)));
  }

  private Publisher<Void> answer(String id, HttpServerResponse response) {
    if (rejectsRequests) {
      return response.status(503).sendString(Mono.just("{\"not_run\":true}"));
    }
    if (pauseAfterFrames <= frames) {
      Flux<String> rest =
          resumeSignal.asMono().thenMany(Flux.defer(() -> lines(id, pauseAfterFrames, frames + 1)));
      return response.sendString(lines(id, 0, pauseAfterFrames).concatWith(rest));
    }
    long endSequence = Math.min(frames + 1, disconnectAfterFrames);
    boolean disconnects = endSequence <= frames;
    Flux<String> lines = lines(id, 0, endSequence);
    return response.sendString(
        disconnects ? lines.concatWith(Flux.error(new DisconnectException())) : lines);
  }

  /** Resumes paused streams. */
  void resumePausedStreams() {
    resumeSignal.tryEmitEmpty();
  }

  private Publisher<Void> resume(HttpServerRequest request, HttpServerResponse response) {
    long from = Long.parseLong(request.uri().replaceAll(".*from=", ""));
    calls.add("GET " + request.param("id") + " from " + from);
    return response.sendString(lines(request.param("id"), from, frames + 1));
  }

  private Publisher<Void> cancel(HttpServerRequest request, HttpServerResponse response) {
    calls.add("DELETE " + request.param("id"));
    return response.status(204).send();
  }

  private Publisher<Void> certificate(HttpServerRequest request, HttpServerResponse response) {
    calls.add(request.method() + " " + request.uri());
    response.status(201).header("X-Certificate", "7");
    return request
        .receive()
        .aggregate()
        .asString()
        .defaultIfEmpty("")
        .flatMap(body -> response.sendString(Mono.just("certificate:" + body)).then());
  }

  private Flux<String> lines(String id, long from, long endSequence) {
    long total = frames;
    return Flux.fromStream(LongStream.range(from, endSequence).mapToObj(n -> line(id, n, total)));
  }

  private String line(String id, long sequence, long total) {
    generatedLines.incrementAndGet();
    String head = "{\"request_id\":\"" + id + "\",\"seq\":" + sequence;
    return sequence < total
        ? head + ",\"text\":\"w" + sequence + " " + padding + "\"}\n"
        : head
            + ",\"end\":true,\"usage\":{\"prompt_tokens\":4,\"cached_tokens\":1,"
            + "\"output_tokens\":"
            + total
            + "}}\n";
  }

  @Override
  public void close() {
    server.disposeNow();
  }

  private static final class DisconnectException extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }
}
