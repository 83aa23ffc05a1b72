package org.teaseltrail.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.reactivestreams.Publisher;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.InvalidIdException;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.PrefixBlockHasher;
import org.teaseltrail.standin.model.AnswerTextGenerator;
import org.teaseltrail.standin.model.EngineAction;
import org.teaseltrail.standin.model.EngineEvent;
import org.teaseltrail.standin.model.EngineRefusal;
import org.teaseltrail.standin.model.EngineRequest;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** HTTP endpoints that start, resume and cancel an engine's response streams. */
final class StreamRoutes {

  private static final int BYTES_PER_TOKEN = 4;
  private static final int OK = 200;
  private static final int NO_CONTENT = 204;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;

  private final SimulatedEngine engine;

  StreamRoutes(SimulatedEngine engine) {
    this.engine = engine;
  }

  void addTo(HttpServerRoutes routes) {
    routes
        .post("/v1/streams", this::begin)
        .get("/v1/streams/{id}", this::resume)
        .delete("/v1/streams/{id}", this::cancel);
  }

  private Publisher<Void> begin(HttpServerRequest request, HttpServerResponse response) {
    return request
        .receive()
        .aggregate()
        .asByteArray()
        .map(StreamRoutes::engineRequest)
        .flatMap(asked -> submit(asked, response))
        .onErrorResume(StreamRoutes::isMalformed, e -> response.status(BAD_REQUEST).send());
  }

  private Mono<Void> submit(EngineRequest asked, HttpServerResponse response) {
    return Mono.fromFuture(() -> engine.handle(new EngineEvent.Submit(asked)))
        .flatMap(
            actions ->
                refusalOf(asked.id(), actions)
                    .map(refusal -> refuse(refusal, response))
                    .orElseGet(() -> stream(asked, 0, response)));
  }

  private Mono<Void> stream(EngineRequest asked, int from, HttpServerResponse response) {
    Flux<ByteBuf> lines =
        engine
            .read(asked, from)
            .map(line -> Unpooled.wrappedBuffer(line.getBytes(StandardCharsets.UTF_8)));
    return response
        .status(OK)
        .header("Content-Type", "application/x-ndjson")
        .sendHeaders()
        .send(lines, line -> true)
        .then();
  }

  private static Mono<Void> refuse(EngineRefusal refusal, HttpServerResponse response) {
    if (refusal == EngineRefusal.DUPLICATE_REQUEST) {
      return response.status(CONFLICT).send();
    }
    return JsonResponse.send(response, UNAVAILABLE, new NotRun(true, refusal));
  }

  private Publisher<Void> resume(HttpServerRequest request, HttpServerResponse response) {
    int from = fromSequence(request);
    if (from < 0) {
      return response.status(BAD_REQUEST).send();
    }
    return Mono.fromFuture(() -> engine.request(new RequestId(request.param("id"))))
        .flatMap(known -> stream(known, from, response).thenReturn(true))
        .switchIfEmpty(response.status(NOT_FOUND).send().then(Mono.just(true)))
        .then();
  }

  private Publisher<Void> cancel(HttpServerRequest request, HttpServerResponse response) {
    RequestId id = new RequestId(request.param("id"));
    return Mono.fromFuture(() -> engine.handle(new EngineEvent.Cancel(id)))
        .then(response.status(NO_CONTENT).send());
  }

  private static Optional<EngineRefusal> refusalOf(RequestId id, List<EngineAction> actions) {
    return actions.stream()
        .filter(EngineAction.Refuse.class::isInstance)
        .map(EngineAction.Refuse.class::cast)
        .filter(refuse -> refuse.request().equals(id))
        .map(EngineAction.Refuse::reason)
        .findFirst();
  }

  private static EngineRequest engineRequest(byte[] text) {
    StreamBody body = UpstreamJson.read(StreamBody.class, text);
    ModelTarget target =
        new ModelTarget(
            new ModelId(body.model()),
            new ModelVersion(body.version()),
            body.adapter().map(AdapterId::new));
    byte[] prompt = body.prompt().getBytes(StandardCharsets.UTF_8);
    int promptTokens = (prompt.length + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    return new EngineRequest(
        new RequestId(body.requestId()),
        target,
        Math.max(1, promptTokens),
        PrefixBlockHasher.hashBlocks(target, prompt),
        body.maxTokens(),
        AnswerTextGenerator.seedOf(body.prompt()));
  }

  private static int fromSequence(HttpServerRequest request) {
    List<String> from =
        new QueryStringDecoder(request.uri()).parameters().getOrDefault("from", List.of("0"));
    try {
      return Integer.parseInt(from.get(0));
    } catch (NumberFormatException failure) {
      return -1;
    }
  }

  private static boolean isMalformed(Throwable failure) {
    return failure instanceof MalformedBodyException
        || failure instanceof InvalidIdException
        || failure instanceof IllegalArgumentException;
  }

  private record StreamBody(
      String requestId,
      String model,
      String version,
      Optional<String> adapter,
      String prompt,
      int maxTokens) {}

  private record NotRun(boolean notRun, EngineRefusal reason) {}
}
