package org.teaseltrail.standin;

import java.util.List;
import java.util.Optional;
import org.reactivestreams.Publisher;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.standin.model.EngineAction;
import org.teaseltrail.standin.model.EngineEvent;
import org.teaseltrail.standin.model.KvCache;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** HTTP endpoints that export and import KV caches, represented by the hashes of their blocks. */
final class KvRoutes {

  private static final int OK = 200;
  private static final int NO_CONTENT = 204;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;

  private final SimulatedEngine engine;

  KvRoutes(SimulatedEngine engine) {
    this.engine = engine;
  }

  void addTo(HttpServerRoutes routes) {
    routes.get("/v1/kv/{id}", this::export).put("/v1/kv", this::importKv);
  }

  private Publisher<Void> export(HttpServerRequest request, HttpServerResponse response) {
    RequestId id = new RequestId(request.param("id"));
    return Mono.fromFuture(() -> engine.handle(new EngineEvent.ExportKv(id)))
        .flatMap(actions -> respond(actions, response));
  }

  private static Mono<Void> respond(List<EngineAction> actions, HttpServerResponse response) {
    Optional<KvCache> exported =
        actions.stream()
            .filter(EngineAction.KvExported.class::isInstance)
            .map(action -> ((EngineAction.KvExported) action).cache())
            .findFirst();
    return exported
        .map(cache -> JsonResponse.send(response, OK, cache))
        .orElseGet(() -> response.status(NOT_FOUND).send().then());
  }

  private Publisher<Void> importKv(HttpServerRequest request, HttpServerResponse response) {
    return request
        .receive()
        .aggregate()
        .asByteArray()
        .map(text -> UpstreamJson.read(KvBody.class, text))
        .map(
            body ->
                new EngineEvent.ImportKv(new KvCache(new RequestId(body.request()), body.blocks())))
        .flatMap(event -> Mono.fromFuture(() -> engine.handle(event)))
        .then(Mono.defer(() -> response.status(NO_CONTENT).send().then()))
        .onErrorResume(
            failure ->
                failure instanceof MalformedBodyException
                    || failure instanceof IllegalArgumentException,
            failure -> response.status(BAD_REQUEST).send().then());
  }

  private record KvBody(String request, List<Long> blocks) {}
}
