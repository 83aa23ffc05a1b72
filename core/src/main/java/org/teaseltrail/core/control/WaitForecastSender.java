package org.teaseltrail.core.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Sends, on the leader, forecasts of the waits for slots to all entry VMs, at a fixed interval
 * while requests wait.
 */
final class WaitForecastSender {

  /** A third of the shortest wait that decides about a request's admission. */
  private static final long INTERVAL_NS = 100_000_000L;

  /** Three intervals, as long as a VM waits for grants of a silent leader. */
  private static final long VALIDITY_MS = 300;

  private final Leadership leadership;
  private final SlotAllocator slots;
  private final RateLimitCoordinator limits;
  private final LeaderFeature feature;
  private final Map<ServiceId, SlotFlowMeter> meters = new HashMap<>();
  private long nextNs = Long.MAX_VALUE;

  WaitForecastSender(Leadership leadership, SlotAllocator slots, RateLimitCoordinator limits) {
    this.leadership = leadership;
    this.slots = slots;
    this.limits = limits;
    feature =
        new LeaderFeature(leadership.context().settings().contention().waitForecasts(), leadership);
  }

  /** Counts a grant. */
  void granted(SlotAllocator.Grant grant) {
    SlotFlowMeter meter = meters.get(grant.service());
    if (meter != null) {
      meter.granted(new WaitingClass(grant.urgency(), grant.customer()));
    }
  }

  /**
   * Sends the forecasts that are due.
   *
   * @param contended the services whose slots the leader allocates
   * @param grantable returns the upstreams at which slots of a service are granted
   * @param vms the VMs that get the forecasts
   */
  void sendDue(
      Set<ServiceId> contended,
      Function<ServiceId, List<Registration>> grantable,
      Collection<VmId> vms) {
    if (feature.isOff()) {
      return;
    }
    long nowNs = leadership.nowNs();
    meters.keySet().retainAll(contended);
    for (ServiceId service : contended) {
      SlotFlowMeter meter = meters.computeIfAbsent(service, key -> new SlotFlowMeter());
      if (isDue(meter, nowNs) && feature.appliesTo(service)) {
        List<Registration> ready =
            grantable.apply(service).stream()
                .filter(upstream -> upstream.phase() == RegistrationPhase.READY)
                .toList();
        send(service, ready, meter, vms);
      }
    }
    nextNs = contended.isEmpty() ? Long.MAX_VALUE : nowNs + INTERVAL_NS;
  }

  private static boolean isDue(SlotFlowMeter meter, long nowNs) {
    return meter.sampledNs() == Long.MIN_VALUE || nowNs - meter.sampledNs() >= INTERVAL_NS;
  }

  private void send(
      ServiceId service, List<Registration> ready, SlotFlowMeter meter, Collection<VmId> vms) {
    long nowNs = leadership.nowNs();
    Map<UpstreamId, Integer> inFlight = slots.inFlight(service, ready);
    int busySlots =
        ready.stream()
            .mapToInt(upstream -> Math.min(upstream.slots(), inFlight.get(upstream.id())))
            .sum();
    int slotCount = ready.stream().mapToInt(Registration::slots).sum();
    int inFlightCount = inFlight.values().stream().mapToInt(Integer::intValue).sum();
    meter.sample(inFlightCount, busySlots, nowNs);
    if (!meter.isMeasured() || hasLimitedUpstreams(service)) {
      return;
    }
    // Requests that still wait after a round of grants can't use the slots that are left, such as
    // those of upstreams that have crashed and are still registered.
    boolean areRestUnusable = slots.hasUngranted(service, nowNs);
    int usableSlots = areRestUnusable ? busySlots : slotCount;
    int freeSlots = usableSlots - busySlots;
    WaitForecaster.Load load =
        new WaitForecaster.Load(
            slots.ungrantedByClass(service, nowNs),
            meter.grantsPerSecond(),
            meter.capacityPerSecond(usableSlots),
            freeSlots > 0 ? freeSlots : busySlots - inFlightCount,
            usableSlots,
            slots.totals(service).usedByCustomer(),
            vms.size());
    ServingReply.WaitForecast forecast =
        new ServingReply.WaitForecast(
            leadership.fencing(), service, VALIDITY_MS, WaitForecaster.forecast(load));
    vms.forEach(vm -> leadership.sendServing(vm, forecast));
  }

  /**
   * Returns whether some upstreams of a service have rate limits: how many requests these take
   * isn't known here.
   */
  private boolean hasLimitedUpstreams(ServiceId service) {
    return present(service).stream().anyMatch(limits::isLimited);
  }

  private List<Registration> present(ServiceId service) {
    return leadership.context().stateMachine().state().registry().present().stream()
        .filter(upstream -> upstream.service().equals(service))
        .toList();
  }

  /** Returns when the next forecast is due, {@link Long#MAX_VALUE} if no request waits. */
  long nextWakeupNs() {
    return nextNs;
  }
}
