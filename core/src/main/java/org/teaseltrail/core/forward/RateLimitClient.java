package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.teaseltrail.core.backpressure.RateLimit;
import org.teaseltrail.core.backpressure.RateLimitObservation;
import org.teaseltrail.core.backpressure.RateLimitRegistry;
import org.teaseltrail.core.backpressure.SendPermit;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.serving.PermitDemand;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Reports upstreams' rate limits to the leader, requests permits to send to rate-limited upstreams,
 * and applies the limits that other VMs observed.
 */
final class RateLimitClient {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Time for which a new limit is reported with each sync, and after which all limits are reported
   * again. A leader that missed a limit, because the connection broke, would grant no permits for
   * it.
   */
  private static final long RESEND_NS = 2_000 * NS_PER_MS;

  /** Time after which the answer to a permit request is no longer expected. */
  private static final long ANSWER_TIMEOUT_NS = 2_000 * NS_PER_MS;

  /** Maximum number of permits of a service that are requested at once. */
  private static final int MAX_PERMITS_REQUESTED = 32;

  private final VmId vm;
  private final UpstreamTracker upstreams;
  private final RateLimitRegistry registry = new RateLimitRegistry();
  private final Map<UpstreamIncarnation, Long> newLimitsUntilNs = new HashMap<>();
  private final TreeMap<Long, Long> requestedNs = new TreeMap<>();
  private FencingNumber reportedTo = new FencingNumber(0);
  private long lastFullReportNs;
  private long sequence;

  RateLimitClient(VmId vm, UpstreamTracker upstreams) {
    this.vm = vm;
    this.upstreams = upstreams;
  }

  /**
   * Records the rate limit in a response to this VM; returns whether the limit has changed.
   *
   * <p>Only a response to a request that was sent after the limit was last named lifts the limit.
   * Responses may overtake each other, or be read late and out of order after a suspension, and one
   * from before the overload would let all VMs send without limit.
   */
  boolean recordRateLimit(
      UpstreamIncarnation upstream, RateLimit limit, long dispatchedNs, long nowNs) {
    if (!limit.isLimited() && dispatchedNs <= registry.observedNs(upstream)) {
      return false;
    }
    boolean changed = recordObservation(upstream, limit, nowNs);
    if (changed) {
      newLimitsUntilNs.put(upstream, nowNs + RESEND_NS);
    }
    return changed;
  }

  /** Applies the limits that other VMs observed. */
  void applyUpdate(ServingReply.LimitUpdate update, long nowNs) {
    for (RateLimitObservation observation : update.sightings()) {
      recordObservation(
          observation.upstream(), observation.limit(), nowNs - observation.agoMs() * NS_PER_MS);
    }
  }

  /** Applies permits, which expire as long after the permit request as the leader says. */
  void applyPermits(ServingReply.SendPermits permits) {
    Long requestTimeNs = requestedNs.remove(permits.sequence());
    if (requestTimeNs != null) {
      long expiryNs = requestTimeNs + permits.forMs() * NS_PER_MS;
      for (SendPermit permit : permits.permits()) {
        upstreams.backpressure(permit.upstream()).addPermits(permit.requests(), expiryNs);
      }
    }
  }

  /** Returns the report for the leader that goes with a sync, if any limit is known. */
  Optional<ServingMessage> createReport(FencingNumber leadership, RequestQueues lines, long nowNs) {
    if (registry.isEmpty()) {
      return Optional.empty();
    }
    registry
        .removeStale(upstreams.incarnations(), nowNs)
        .forEach(removed -> upstreams.setLimited(removed, false));
    newLimitsUntilNs.values().removeIf(expiryNs -> nowNs > expiryNs);
    boolean all = !leadership.equals(reportedTo) || nowNs - lastFullReportNs > RESEND_NS;
    lastFullReportNs = all ? nowNs : lastFullReportNs;
    reportedTo = leadership;
    List<RateLimitObservation> toReport =
        registry.sightings(incarnation -> all || newLimitsUntilNs.containsKey(incarnation), nowNs);
    List<PermitDemand> wanted = wanted(lines, nowNs);
    if (toReport.isEmpty() && wanted.isEmpty()) {
      return Optional.empty();
    }
    requestedNs.values().removeIf(atNs -> nowNs - atNs > ANSWER_TIMEOUT_NS);
    requestedNs.put(++sequence, nowNs);
    return Optional.of(new ServingMessage.Limits(vm, sequence, toReport, wanted));
  }

  private boolean recordObservation(UpstreamIncarnation upstream, RateLimit limit, long seenNs) {
    boolean changed = registry.recordObservation(upstream, limit, seenNs);
    if (changed) {
      upstreams.setLimited(upstream, limit.isLimited());
    }
    return changed;
  }

  /** Requests as many permits as there are requests here, less the permits already held. */
  private List<PermitDemand> wanted(RequestQueues lines, long nowNs) {
    Set<ServiceId> services = new HashSet<>();
    upstreams.limited().forEach(upstream -> services.add(upstream.registration().service()));
    List<PermitDemand> wanted = new ArrayList<>();
    for (ServiceId service : services) {
      int demand = lines.of(service).size();
      for (UpstreamState upstream : upstreams.of(service)) {
        demand += upstream.ownInFlight() - upstream.backpressure().permits(nowNs);
      }
      if (demand > 0) {
        int requests = Math.min(MAX_PERMITS_REQUESTED, demand);
        wanted.add(new PermitDemand(service, requests, lines.of(service).mostUrgent()));
      }
    }
    return wanted;
  }
}
