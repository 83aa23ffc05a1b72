package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.serving.QueueState;

/**
 * The request queues of all services, and whether each is served by this VM or by slot grants of
 * the leader.
 */
final class RequestQueues {

  private final SlotGrantTracker slots;
  private final LoadBalancingPolicy placement;
  private final VersionRouter versionRouter;
  private final Predicate<ServiceId> isEngine;
  private final SlotUsageCounter places;
  private final Map<ServiceId, RequestQueue> lines = new HashMap<>();

  RequestQueues(
      SlotGrantTracker slots,
      LoadBalancingPolicy placement,
      VersionRouter versionRouter,
      Predicate<ServiceId> isEngine,
      SlotUsageCounter places) {
    this.slots = slots;
    this.placement = placement;
    this.versionRouter = versionRouter;
    this.isEngine = isEngine;
    this.places = places;
  }

  RequestQueue of(ServiceId service) {
    return lines.computeIfAbsent(service, key -> new RequestQueue(key, places));
  }

  List<ServiceId> services() {
    return List.copyOf(lines.keySet());
  }

  void add(ActiveRequest request) {
    of(request.service()).add(request);
    slots.onQueueChanged(request.service());
  }

  void remove(ActiveRequest request) {
    of(request.service()).remove(request);
  }

  /** Returns whether the leader allocates a service's slots. */
  boolean isLeaderAllocated(ServiceId service, long nowNs) {
    return slots.isLeaderAllocated(service, nowNs);
  }

  /** Returns whether other requests go before a newly arrived one, here or at other VMs. */
  boolean hasQueuedAhead(ServiceId service, long nowNs) {
    return !of(service).isEmpty() || isLeaderAllocated(service, nowNs);
  }

  /** Returns whether any request is queued. */
  boolean hasWaiting() {
    return lines.values().stream().anyMatch(waiting -> !waiting.isEmpty());
  }

  /** Returns the states of the engines' queues that aren't empty. */
  List<QueueState> queueStates(long nowNs) {
    List<QueueState> states = new ArrayList<>();
    lines.forEach(
        (service, waiting) -> {
          if (isEngine.test(service) && !waiting.isEmpty()) {
            states.add(
                new QueueState(
                    service,
                    waiting.waitTimes(nowNs),
                    unwanted(service, nowNs),
                    placement.slow(service, versionRouter.routableUpstreams(service), nowNs)));
          }
        });
    return states;
  }

  /**
   * Returns the upstreams that no queued request may or can use, so that the leader grants no slot
   * there.
   */
  private List<UpstreamId> unwanted(ServiceId service, long nowNs) {
    List<UpstreamId> unwanted = new ArrayList<>(slots.unwanted(service));
    unwanted.addAll(versionRouter.unavailableUpstreams(service, nowNs));
    return unwanted;
  }
}
