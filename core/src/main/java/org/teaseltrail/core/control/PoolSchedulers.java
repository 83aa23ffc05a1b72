package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.schedule.Scheduler;
import org.teaseltrail.core.schedule.SchedulerAction;
import org.teaseltrail.core.schedule.SchedulerEvent;

/** The schedulers of all pools for one leadership. */
final class PoolSchedulers {

  private final SchedulerFactory factory;
  private final FencingNumber fencing;
  private final long seed;
  private final Consumer<SchedulerAction> sink;
  private final Map<PoolId, Scheduler> schedulers =
      new TreeMap<>(Comparator.comparing(PoolId::value));

  PoolSchedulers(
      SchedulerFactory factory, FencingNumber fencing, long seed, Consumer<SchedulerAction> sink) {
    this.factory = factory;
    this.fencing = fencing;
    this.seed = seed;
    this.sink = sink;
  }

  /**
   * Passes a configuration to the schedulers. The scheduler of a removed pool refuses its waiting
   * requests and is then removed.
   *
   * @return the pools that are new
   */
  List<PoolId> configure(Configuration configuration, long nowNs) {
    List<PoolId> added = new ArrayList<>();
    for (PoolId pool : configuration.pools().keySet()) {
      if (!schedulers.containsKey(pool)) {
        schedulers.put(pool, factory.create(pool, fencing, seed ^ pool.value().hashCode()));
        added.add(pool);
      }
    }
    broadcast(new SchedulerEvent.ConfigurationChanged(configuration), nowNs);
    schedulers.keySet().retainAll(configuration.pools().keySet());
    return added;
  }

  boolean has(PoolId pool) {
    return schedulers.containsKey(pool);
  }

  void handle(PoolId pool, SchedulerEvent event, long nowNs) {
    Scheduler scheduler = schedulers.get(pool);
    if (scheduler != null) {
      scheduler.handle(event, nowNs).forEach(sink);
    }
  }

  void broadcast(SchedulerEvent event, long nowNs) {
    for (PoolId pool : List.copyOf(schedulers.keySet())) {
      handle(pool, event, nowNs);
    }
  }

  void tick(long nowNs) {
    for (PoolId pool : List.copyOf(schedulers.keySet())) {
      OptionalLong wakeup = schedulers.get(pool).nextWakeupNs();
      if (wakeup.isPresent() && wakeup.getAsLong() <= nowNs) {
        handle(pool, new SchedulerEvent.Tick(), nowNs);
      }
    }
  }

  OptionalLong nextWakeupNs() {
    return schedulers.values().stream()
        .map(Scheduler::nextWakeupNs)
        .flatMapToLong(OptionalLong::stream)
        .min();
  }
}
