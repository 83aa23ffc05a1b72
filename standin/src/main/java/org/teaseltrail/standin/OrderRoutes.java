package org.teaseltrail.standin;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.reactivestreams.Publisher;
import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.upstream.UpstreamRole;
import org.teaseltrail.standin.model.EngineAction;
import org.teaseltrail.standin.model.EngineEvent;
import org.teaseltrail.standin.model.EngineOrder;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** HTTP endpoint for orders to an engine. */
final class OrderRoutes {

  private static final int ACCEPTED = 202;
  private static final int BAD_REQUEST = 400;
  private static final int CONFLICT = 409;

  private final SimulatedEngine engine;

  OrderRoutes(SimulatedEngine engine) {
    this.engine = engine;
  }

  void addTo(HttpServerRoutes routes) {
    routes.post("/v1/orders", this::order);
  }

  private Publisher<Void> order(HttpServerRequest request, HttpServerResponse response) {
    return request
        .receive()
        .aggregate()
        .asByteArray()
        .map(text -> UpstreamJson.read(OrderBody.class, text).event())
        .flatMap(event -> Mono.fromFuture(() -> engine.handle(event)))
        .flatMap(actions -> respond(actions, response))
        .onErrorResume(
            failure ->
                failure instanceof MalformedBodyException
                    || failure instanceof IllegalArgumentException,
            failure -> response.status(BAD_REQUEST).send());
  }

  private static Mono<Void> respond(List<EngineAction> actions, HttpServerResponse response) {
    return actions.stream()
        .filter(EngineAction.OrderRefused.class::isInstance)
        .map(EngineAction.OrderRefused.class::cast)
        .findFirst()
        .map(refused -> JsonResponse.send(response, CONFLICT, new Refusal(refused.newest())))
        .orElseGet(() -> response.status(ACCEPTED).send().then());
  }

  private record Refusal(FencingNumber fencingNumber) {}

  private record OrderBody(
      String order,
      Optional<String> model,
      Optional<String> version,
      Optional<String> adapter,
      Optional<String> role,
      Long fencingNumber) {

    EngineEvent.Order event() {
      return new EngineEvent.Order(engineOrder(), new FencingNumber(fencingNumber));
    }

    private EngineOrder engineOrder() {
      return switch (order) {
        case "load_model" -> new EngineOrder.LoadModel(modelId(), modelVersion());
        case "unload_model" -> new EngineOrder.UnloadModel(modelId(), modelVersion());
        case "load_adapter" ->
            new EngineOrder.LoadAdapter(
                modelId(), modelVersion(), new AdapterId(required(adapter, "adapter")));
        case "change_role" ->
            new EngineOrder.ChangeRole(
                UpstreamRole.valueOf(required(role, "role").toUpperCase(Locale.ROOT)));
        default -> throw new MalformedBodyException("unknown order");
      };
    }

    private ModelId modelId() {
      return new ModelId(required(model, "model"));
    }

    private ModelVersion modelVersion() {
      return new ModelVersion(required(version, "version"));
    }

    private static String required(Optional<String> value, String name) {
      return value.orElseThrow(() -> new MalformedBodyException(name + " is missing"));
    }
  }
}
