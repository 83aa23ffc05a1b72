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
 * Orders engines to load what too few of their pool hold, one load after the other, spread over
 * data centres.
 */
final class PlacementPlanner {

  private static final long NS_PER_MS = 1_000_000L;

  private record Wish(Announcement engine, OrderKind kind, ModelTarget target) {}

  private record Pending(Wish wish, long endsAtNs) {}

  private final PlacementSettings settings;
  private final AnnouncementCache fleet;
  private final EngineOrderDispatcher orders;
  private final Map<UpstreamId, Pending> pending = new HashMap<>();
  private long nextLoadAtNs = Long.MIN_VALUE;
  private boolean wants;

  PlacementPlanner(
      PlacementSettings settings, AnnouncementCache fleet, EngineOrderDispatcher orders) {
    this.settings = settings;
    this.fleet = fleet;
    this.orders = orders;
  }

  /** Orders the next load if one is missing and the weight store may be read again. */
  void plan(Configuration configuration, long nowNs) {
    pending.values().removeIf(one -> nowNs >= one.endsAtNs() || isDone(one.wish(), nowNs));
    wants = false;
    for (Route route : inOrder(configuration)) {
      if (route.target() instanceof ModelTarget target) {
        Optional<Wish> order = missing(configuration, route, target, nowNs);
        wants |= order.isPresent();
        if (order.isPresent() && nowNs >= nextLoadAtNs) {
          send(order.get(), nowNs);
        }
      }
    }
  }

  OptionalLong nextWakeupNs() {
    return wants ? OptionalLong.of(nextLoadAtNs) : OptionalLong.empty();
  }

  private Optional<Wish> missing(
      Configuration configuration, Route route, ModelTarget target, long nowNs) {
    Pool pool = configuration.pools().get(route.pool());
    List<Announcement> engines = new ArrayList<>();
    for (Announcement engine : fleet.findByPool(configuration, route.pool(), nowNs)) {
      boolean usable = engine.phase() == UpstreamPhase.SERVING;
      if (usable && engine.role() == UpstreamRole.GENERATE) {
        engines.add(engine);
      }
    }
    List<Announcement> holders =
        engines.stream().filter(engine -> holds(engine, target) || loads(engine, target)).toList();
    if (holders.size() >= pool.targetCopies()) {
      return Optional.empty();
    }
    return engines.stream()
        .filter(engine -> !holders.contains(engine) && !pending.containsKey(engine.upstream()))
        .min(Comparator.comparingInt(engine -> cost(engine, holders)))
        .map(engine -> wish(engine, target));
  }

  /** Prefers data centres with fewer copies, then engines that hold fewer models. */
  private static int cost(Announcement engine, List<Announcement> holders) {
    DataCenterId place = engine.dataCenter();
    int copies = (int) holders.stream().filter(one -> one.dataCenter().equals(place)).count();
    return copies * 1_000 + Math.min(engine.models().size(), 999);
  }

  private static Wish wish(Announcement engine, ModelTarget target) {
    boolean modelLoaded = holds(engine, withoutAdapter(target));
    OrderKind kind = modelLoaded ? OrderKind.LOAD_ADAPTER : OrderKind.LOAD_MODEL;
    return new Wish(engine, kind, target);
  }

  private void send(Wish wish, long nowNs) {
    long endsAtNs = nowNs + settings.orderTimeoutMs() * NS_PER_MS;
    pending.put(wish.engine().upstream(), new Pending(wish, endsAtNs));
    nextLoadAtNs = nowNs + settings.loadSpacingMs() * NS_PER_MS;
    orders.send(wish.engine(), OrderContent.of(wish.kind(), wish.target()), nowNs);
  }

  private boolean isDone(Wish wish, long nowNs) {
    ModelTarget goal =
        wish.kind() == OrderKind.LOAD_MODEL ? withoutAdapter(wish.target()) : wish.target();
    return fleet
        .find(wish.engine().upstream(), nowNs)
        .filter(engine -> holds(engine, goal))
        .isPresent();
  }

  private boolean loads(Announcement engine, ModelTarget target) {
    Pending one = pending.get(engine.upstream());
    return one != null && one.wish().target().equals(target);
  }

  private static boolean holds(Announcement engine, ModelTarget target) {
    return engine.models().stream().anyMatch(served -> covers(served, target));
  }

  private static boolean covers(ServedModel served, ModelTarget target) {
    return served.model().equals(target.model())
        && served.version().equals(target.version())
        && target.adapter().map(served.adapters()::contains).orElse(true);
  }

  private static ModelTarget withoutAdapter(ModelTarget target) {
    return new ModelTarget(target.model(), target.version(), Optional.empty());
  }

  private static List<Route> inOrder(Configuration configuration) {
    return configuration.routes().values().stream()
        .sorted(Comparator.comparing(route -> route.id().value()))
        .toList();
  }
}
