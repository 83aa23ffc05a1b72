package org.teaseltrail.core.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.teaseltrail.core.id.ServiceId;

/** Slots in use and requests that wait for one, over all entry VMs. */
final class SlotLedger {

  private final UpstreamUsage upstreams = new UpstreamUsage();
  private final Map<ServiceId, SlotUsageTotals> totals = new HashMap<>();
  private final Map<ServiceId, CandidateIndex> candidates = new HashMap<>();

  /** Returns the slots in use at each upstream. */
  UpstreamUsage upstreams() {
    return upstreams;
  }

  /** Returns the slots in use of a service. */
  SlotUsageTotals totals(ServiceId service) {
    return totals.computeIfAbsent(service, id -> new SlotUsageTotals(upstreams));
  }

  /** Returns the requests that wait for a service. */
  CandidateIndex candidates(ServiceId service) {
    return candidates.computeIfAbsent(service, id -> new CandidateIndex());
  }

  /** Returns the services for which requests wait, whether covered by a grant or not. */
  Set<ServiceId> queuedServices() {
    return candidates.entrySet().stream()
        .filter(entry -> entry.getValue().hasRequests())
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }
}
