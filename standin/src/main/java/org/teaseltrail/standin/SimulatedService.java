package org.teaseltrail.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.standin.model.ServiceAction;
import org.teaseltrail.standin.model.ServiceEvent;
import org.teaseltrail.standin.model.ServiceModel;
import reactor.netty.http.server.HttpServerRoutes;

/** Simulated service: runs the model of a plain service and answers its HTTP calls. */
final class SimulatedService implements SimulatedUpstream {

  private final ServiceModel model;
  private final ModelEventLoop<ServiceEvent, ServiceAction> loop;
  private final Map<RequestId, Deque<CompletableFuture<Integer>>> calls = new HashMap<>();
  private Announcer announcer;

  SimulatedService(ServiceModel model) {
    this.model = model;
    this.loop = new ModelEventLoop<>(model, new ServiceEvent.Tick(), this::execute);
  }

  @Override
  public void start(Announcer entries) {
    loop.run(() -> announcer = entries);
    loop.handle(new ServiceEvent.Tick());
  }

  @Override
  public void addRoutes(HttpServerRoutes routes) {
    routes.route(request -> true, new ServiceCallHandler(this));
  }

  @Override
  public void setStragglerFactor(double factor) {
    loop.handle(new ServiceEvent.SetStragglerFactor(factor));
  }

  @Override
  public CompletableFuture<Void> startDraining(long graceMs) {
    loop.handle(new ServiceEvent.Drain());
    return loop.awaitCondition(() -> model.isIdle() && calls.isEmpty(), graceMs);
  }

  @Override
  public CompletableFuture<Object> counters() {
    CompletableFuture<Object> counters = new CompletableFuture<>();
    loop.run(() -> counters.complete(new Counters(model.executionsByRequest())));
    return counters;
  }

  @Override
  public CompletableFuture<Void> failed() {
    return loop.failed();
  }

  @Override
  public void close() {
    loop.close();
  }

  /** Executes a call; the future holds the number of executions of the request so far. */
  CompletableFuture<Integer> call(RequestId request) {
    CompletableFuture<Integer> execution = new CompletableFuture<>();
    loop.run(() -> calls.computeIfAbsent(request, id -> new ArrayDeque<>()).add(execution));
    loop.handle(new ServiceEvent.Call(request));
    return execution;
  }

  private void execute(ServiceAction action) {
    if (action instanceof ServiceAction.Respond respond) {
      respond(respond.request(), respond.execution());
    } else if (action instanceof ServiceAction.Announce announce) {
      announcer.announce(announce.announcement());
    }
  }

  private void respond(RequestId request, int execution) {
    Deque<CompletableFuture<Integer>> waiting = calls.get(request);
    waiting.remove().complete(execution);
    if (waiting.isEmpty()) {
      calls.remove(request);
    }
  }

  private record Counters(Map<RequestId, Integer> executions) {}
}
