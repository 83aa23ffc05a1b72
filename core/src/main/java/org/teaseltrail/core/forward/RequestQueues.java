package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.serving.QueueState;

/** Holds the lines of all services, and knows who serves them: this VM or the leader. */
final class RequestQueues {

  private final SlotGrantTracker slots;
  private final LoadBalancingPolicy placement;
  private final VersionRouter gate;
  private final Predicate<ServiceId> isEngine;
  private final Map<ServiceId, RequestQueue> lines = new HashMap<>();

  RequestQueues(
      SlotGrantTracker slots,
      LoadBalancingPolicy placement,
      VersionRouter gate,
      Predicate<ServiceId> isEngine) {
    this.slots = slots;
    this.placement = placement;
    this.gate = gate;
    this.isEngine = isEngine;
  }

  RequestQueue of(ServiceId service) {
    return lines.computeIfAbsent(service, key -> new RequestQueue());
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

  /** Tells whether the leader hands out a service's places. */
  boolean isLeaderAllocated(ServiceId service, long nowNs) {
    return slots.isLeaderAllocated(service, nowNs);
  }

  /** Tells whether a request that comes must let others go first, here or at other VMs. */
  boolean hasQueuedAhead(ServiceId service, long nowNs) {
    return !of(service).isEmpty() || isLeaderAllocated(service, nowNs);
  }

  /** Tells whether any request waits for a place. */
  boolean hasWaiting() {
    return lines.values().stream().anyMatch(waiting -> !waiting.isEmpty());
  }

  /** Tells what waits for engines. */
  List<QueueState> queueStates(long nowNs) {
    List<QueueState> states = new ArrayList<>();
    lines.forEach(
        (service, waiting) -> {
          if (isEngine.test(service) && !waiting.isEmpty()) {
            states.add(
                new QueueState(
                    service,
                    waiting.waitTimesByUrgency(nowNs),
                    unwanted(service, nowNs),
                    placement.slow(gate.routableUpstreams(service), nowNs)));
          }
        });
    return states;
  }

  /**
   * Returns the upstreams that nothing here may or can go to, so that no place there is granted.
   */
  private List<UpstreamId> unwanted(ServiceId service, long nowNs) {
    List<UpstreamId> unwanted = new ArrayList<>(slots.unwanted(service));
    unwanted.addAll(gate.unavailableUpstreams(service, nowNs));
    return unwanted;
  }
}
