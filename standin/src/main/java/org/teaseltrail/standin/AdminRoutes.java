package org.teaseltrail.standin;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import org.reactivestreams.Publisher;
import org.teaseltrail.runtime.log.ComponentLogger;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** Admin endpoints that inject faults and report counters, for tests and measurements. */
final class AdminRoutes {

  /** Exit code of a process killed by SIGKILL (128 + 9), which a simulated crash imitates. */
  private static final int SIGKILL_EXIT_CODE = 137;

  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int BAD_REQUEST = 400;

  private final ComponentLogger logger = new ComponentLogger("standin");
  private final SimulatedUpstream behaviour;
  private final Runnable leave;

  AdminRoutes(SimulatedUpstream behaviour, Runnable leave) {
    this.behaviour = behaviour;
    this.leave = leave;
  }

  void addTo(HttpServerRoutes routes) {
    routes
        .post("/admin/straggle", this::straggle)
        .post("/admin/leave", this::leave)
        .post("/admin/crash", this::crash)
        .get("/admin/counters", this::counters);
  }

  private Publisher<Void> straggle(HttpServerRequest request, HttpServerResponse response) {
    List<String> factors =
        new QueryStringDecoder(request.uri()).parameters().getOrDefault("factor", List.of());
    try {
      double factor = Double.parseDouble(factors.isEmpty() ? "" : factors.get(0));
      if (!(factor > 0) || Double.isInfinite(factor)) {
        return response.status(BAD_REQUEST).send();
      }
      logger.info("Set the straggler factor to " + factor + "; it applies from now on.");
      behaviour.setStragglerFactor(factor);
      return response.status(ACCEPTED).send();
    } catch (NumberFormatException failure) {
      return response.status(BAD_REQUEST).send();
    }
  }

  private Publisher<Void> leave(HttpServerRequest request, HttpServerResponse response) {
    leave.run();
    return response.status(ACCEPTED).send();
  }

  private Publisher<Void> crash(HttpServerRequest request, HttpServerResponse response) {
    logger.info("Simulating a crash on request.");
    Runtime.getRuntime().halt(SIGKILL_EXIT_CODE);
    return Mono.empty();
  }

  private Publisher<Void> counters(HttpServerRequest request, HttpServerResponse response) {
    return Mono.fromFuture(behaviour::counters)
        .flatMap(counters -> JsonResponse.send(response, OK, counters));
  }
}
