package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.Pool;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.UpstreamPhase;
import org.teaseltrail.core.upstream.UpstreamRole;

/**
 * Orders engines to load models and adapters that too few engines of their pool have loaded, one at
 * a time, and spreads the copies over data centres.
 */
final class PlacementPlanner {

  private static final long NS_PER_MS = 1_000_000L;

  private record LoadRequest(Announcement engine, OrderKind kind, ModelTarget target) {}

  private record PendingLoad(LoadRequest loadRequest, long expiresAtNs) {}

  private final PlacementSettings settings;
  private final AnnouncementCache announcements;
  private final EngineOrderDispatcher orders;
  private final Map<UpstreamId, PendingLoad> pending = new HashMap<>();
  private long nextLoadAtNs = Long.MIN_VALUE;
  private boolean loadMissing;

  PlacementPlanner(
      PlacementSettings settings, AnnouncementCache announcements, EngineOrderDispatcher orders) {
    this.settings = settings;
    this.announcements = announcements;
    this.orders = orders;
  }

  /** Orders the next load if a copy is missing and the weight store may be read again. */
  void plan(Configuration configuration, long nowNs) {
    pending
        .values()
        .removeIf(one -> nowNs >= one.expiresAtNs() || isDone(one.loadRequest(), nowNs));
    loadMissing = false;
    for (Route route : sortedRoutes(configuration)) {
      if (route.target() instanceof ModelTarget target) {
        Optional<LoadRequest> order = missing(configuration, route, target, nowNs);
        loadMissing |= order.isPresent();
        if (order.isPresent() && nowNs >= nextLoadAtNs) {
          send(order.get(), nowNs);
        }
      }
    }
  }

  OptionalLong nextWakeupNs() {
    return loadMissing ? OptionalLong.of(nextLoadAtNs) : OptionalLong.empty();
  }

  private Optional<LoadRequest> missing(
      Configuration configuration, Route route, ModelTarget target, long nowNs) {
    Pool pool = configuration.pools().get(route.pool());
    List<Announcement> engines = new ArrayList<>();
    for (Announcement engine : announcements.findByPool(configuration, route.pool(), nowNs)) {
      boolean isServing = engine.phase() == UpstreamPhase.SERVING;
      if (isServing && engine.role() == UpstreamRole.GENERATE) {
        engines.add(engine);
      }
    }
    List<Announcement> enginesWithCopy =
        engines.stream()
            .filter(engine -> hasLoaded(engine, target) || isLoading(engine, target))
            .toList();
    if (enginesWithCopy.size() >= pool.targetCopies()) {
      return Optional.empty();
    }
    return engines.stream()
        .filter(
            engine -> !enginesWithCopy.contains(engine) && !pending.containsKey(engine.upstream()))
        .min(Comparator.comparingInt(engine -> cost(engine, enginesWithCopy)))
        .map(engine -> loadRequest(engine, target));
  }

  /** Prefers data centres with fewer copies, then engines that have fewer models loaded. */
  private static int cost(Announcement engine, List<Announcement> enginesWithCopy) {
    DataCenterId dataCenterId = engine.dataCenter();
    int copies =
        (int) enginesWithCopy.stream().filter(one -> one.dataCenter().equals(dataCenterId)).count();
    return copies * 1_000 + Math.min(engine.models().size(), 999);
  }

  private static LoadRequest loadRequest(Announcement engine, ModelTarget target) {
    boolean modelLoaded = hasLoaded(engine, withoutAdapter(target));
    OrderKind kind = modelLoaded ? OrderKind.LOAD_ADAPTER : OrderKind.LOAD_MODEL;
    return new LoadRequest(engine, kind, target);
  }

  private void send(LoadRequest loadRequest, long nowNs) {
    long expiresAtNs = nowNs + settings.orderTimeoutMs() * NS_PER_MS;
    pending.put(loadRequest.engine().upstream(), new PendingLoad(loadRequest, expiresAtNs));
    nextLoadAtNs = nowNs + settings.loadSpacingMs() * NS_PER_MS;
    orders.send(
        loadRequest.engine(), OrderContent.of(loadRequest.kind(), loadRequest.target()), nowNs);
  }

  private boolean isDone(LoadRequest loadRequest, long nowNs) {
    ModelTarget loadedTarget =
        loadRequest.kind() == OrderKind.LOAD_MODEL
            ? withoutAdapter(loadRequest.target())
            : loadRequest.target();
    return announcements
        .find(loadRequest.engine().upstream(), nowNs)
        .filter(engine -> hasLoaded(engine, loadedTarget))
        .isPresent();
  }

  private boolean isLoading(Announcement engine, ModelTarget target) {
    PendingLoad one = pending.get(engine.upstream());
    return one != null && one.loadRequest().target().equals(target);
  }

  private static boolean hasLoaded(Announcement engine, ModelTarget target) {
    return engine.models().stream().anyMatch(served -> matches(served, target));
  }

  private static boolean matches(ServedModel served, ModelTarget target) {
    return served.model().equals(target.model())
        && served.version().equals(target.version())
        && target.adapter().map(served.adapters()::contains).orElse(true);
  }

  private static ModelTarget withoutAdapter(ModelTarget target) {
    return new ModelTarget(target.model(), target.version(), Optional.empty());
  }

  private static List<Route> sortedRoutes(Configuration configuration) {
    return configuration.routes().values().stream()
        .sorted(Comparator.comparing(route -> route.id().value()))
        .toList();
  }
}
