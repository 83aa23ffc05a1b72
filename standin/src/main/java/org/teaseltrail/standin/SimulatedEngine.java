package org.teaseltrail.standin;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.standin.model.EngineAction;
import org.teaseltrail.standin.model.EngineCounters;
import org.teaseltrail.standin.model.EngineEvent;
import org.teaseltrail.standin.model.EngineModel;
import org.teaseltrail.standin.model.EngineRequest;
import org.teaseltrail.standin.model.RequestWork;
import reactor.core.publisher.Flux;
import reactor.netty.http.server.HttpServerRoutes;

/** Simulated engine: runs an engine model and serves its HTTP interface. */
final class SimulatedEngine implements SimulatedUpstream {

  private final EngineModel model;
  private final StreamPublisher readers;
  private final ModelEventLoop<EngineEvent, EngineAction> loop;
  private Announcer announcer;

  SimulatedEngine(EngineModel model) {
    this.model = model;
    this.readers = new StreamPublisher(model);
    this.loop = new ModelEventLoop<>(model, new EngineEvent.Tick(), this::execute);
  }

  @Override
  public void start(Announcer entries) {
    loop.run(() -> announcer = entries);
    loop.handle(new EngineEvent.Tick());
  }

  @Override
  public void addRoutes(HttpServerRoutes routes) {
    new StreamRoutes(this).addTo(routes);
    new OrderRoutes(this).addTo(routes);
    new KvRoutes(this).addTo(routes);
  }

  @Override
  public void setStragglerFactor(double factor) {
    loop.handle(new EngineEvent.SetStragglerFactor(factor));
  }

  @Override
  public CompletableFuture<Void> startDraining(long graceMs) {
    loop.handle(new EngineEvent.Drain());
    return loop.awaitCondition(() -> model.isIdle() && readers.isEmpty(), graceMs);
  }

  @Override
  public CompletableFuture<Object> counters() {
    CompletableFuture<Object> counters = new CompletableFuture<>();
    loop.run(() -> counters.complete(new Counters(model.counters(), model.workByRequest())));
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

  CompletableFuture<List<EngineAction>> handle(EngineEvent event) {
    return loop.handle(event);
  }

  /** Returns the request that a stream answers, or null if the stream is unknown. */
  CompletableFuture<EngineRequest> request(RequestId id) {
    CompletableFuture<EngineRequest> found = new CompletableFuture<>();
    loop.run(() -> found.complete(model.request(id).orElse(null)));
    return found;
  }

  Flux<String> read(EngineRequest request, int fromSequence) {
    return readers.read(request, fromSequence, loop::run);
  }

  private void execute(EngineAction action) {
    if (action instanceof EngineAction.Frame frame) {
      readers.onNewFrames(frame.frame().request());
    } else if (action instanceof EngineAction.StreamAborted broken) {
      readers.abort(broken.request());
    } else if (action instanceof EngineAction.Announce announce) {
      announcer.announce(announce.announcement());
    } else if (action instanceof EngineAction.PublishCacheEvent publish) {
      announcer.publishCacheEvent(publish.event());
    }
  }

  private record Counters(EngineCounters totals, Map<RequestId, RequestWork> requests) {}
}
