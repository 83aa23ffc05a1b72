package org.teaseltrail.core.schedule;

import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.Pool;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.schedule.fleet.FleetPolicy;
import org.teaseltrail.core.schedule.fleet.UpstreamFleet;
import org.teaseltrail.core.schedule.limit.DrainRateMeter;
import org.teaseltrail.core.schedule.queue.TierQueue;
import org.teaseltrail.core.schedule.queue.WaitingQueue;
import org.teaseltrail.core.schedule.ticket.Nanos;
import org.teaseltrail.core.schedule.ticket.TicketEstimator;
import org.teaseltrail.core.schedule.ticket.TicketRegistry;

/** The state of one pool that the components of its scheduler share. */
final class PoolState {

  private static final double US_PER_MS = 1_000;

  private final PoolId pool;
  private final FencingNumber fencing;
  private final SchedulerSettings settings;
  private final WaitingQueue queue = new WaitingQueue();
  private final TicketEstimator estimator = new TicketEstimator();
  private final DrainRateMeter drain = new DrainRateMeter();
  private final TicketRegistry ticketRegistry;
  private final UpstreamFleet fleet;
  private final SchedulerOutput output;
  private Configuration configuration = Configuration.empty();

  PoolState(PoolId pool, FencingNumber fencing, SchedulerSettings settings) {
    this.pool = pool;
    this.fencing = fencing;
    this.settings = settings;
    this.ticketRegistry = new TicketRegistry(Nanos.fromMs(settings.endedRetentionMs()));
    this.fleet = new UpstreamFleet(pool, fleetPolicy(settings));
    this.output = new SchedulerOutput(fencing);
  }

  private static FleetPolicy fleetPolicy(SchedulerSettings settings) {
    return new FleetPolicy(
        settings.isEnabled(PolicyPart.TOKEN_WINDOW),
        settings.isEnabled(PolicyPart.PREFILL_BOUND),
        settings.isEnabled(PolicyPart.STRAGGLERS),
        settings.isEnabled(PolicyPart.PREFIX_AFFINITY),
        settings.prefillBoundMs(),
        settings.interTokenTargetMs());
  }

  FencingNumber fencing() {
    return fencing;
  }

  SchedulerSettings settings() {
    return settings;
  }

  boolean isEnabled(PolicyPart part) {
    return settings.isEnabled(part);
  }

  WaitingQueue queue() {
    return queue;
  }

  TicketEstimator estimator() {
    return estimator;
  }

  TicketRegistry ticketRegistry() {
    return ticketRegistry;
  }

  UpstreamFleet fleet() {
    return fleet;
  }

  SchedulerOutput output() {
    return output;
  }

  Configuration configuration() {
    return configuration;
  }

  void setConfiguration(Configuration newer) {
    configuration = newer;
    fleet.configure(newer);
  }

  boolean isRouted(Ticket ticket) {
    Route route = configuration.routes().get(ticket.route());
    return route != null && route.pool().equals(pool);
  }

  /** Returns the bound on waiting work, as the time that the pool needs to drain it. */
  long maxWaitingMs() {
    Pool definition = configuration.pools().get(pool);
    return definition == null ? Long.MAX_VALUE : definition.maxWaitingMs();
  }

  /** Advances the drain rate meters to the present; called before an event is handled. */
  void advanceDrainMeters(long nowNs) {
    drain.advance(nowNs);
    queue.tiers().forEach(tier -> tier.drain().advance(nowNs));
  }

  /** Updates the drain rate meters on whether requests wait; called after an event is handled. */
  void updateBusy() {
    drain.setBusy(queue.count() > 0);
    queue.tiers().forEach(tier -> tier.drain().setBusy(!tier.isEmpty()));
  }

  DrainRateMeter drain() {
    return drain;
  }

  /** Returns the pool's drain rate, in microseconds of engine time per millisecond. */
  double drainUsPerMs() {
    return drain.rateUsPerMs(US_PER_MS * Math.max(1, fleet.servingCount()));
  }

  /** Returns a tier's drain rate, in microseconds of engine time per millisecond. */
  double drainUsPerMs(TierQueue tier) {
    return tier.drain().rateUsPerMs(drainUsPerMs());
  }
}
