package org.teaseltrail.core.control;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.placement.ServiceTimes;
import org.teaseltrail.core.placement.UpstreamConditionTracker;
import org.teaseltrail.core.placement.UpstreamWorkload;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.registry.UpstreamIncarnation;

/**
 * Selects the upstream whose slot is granted: the one with the shortest expected time to the first
 * event. One whose streams a further prompt would delay longer than callers accept is left out as
 * long as there is any other in the service.
 */
final class GrantUpstreamSelector {

  /**
   * An upstream with free slots.
   *
   * @param id the upstream
   * @param freeSlots number of free slots
   * @param hasUnreadPrompt whether it may have a prompt that it has not processed yet
   */
  record FreeUpstream(UpstreamId id, int freeSlots, boolean hasUnreadPrompt) {}

  private final Map<UpstreamId, Registration> upstreams = new HashMap<>();
  private final Map<UpstreamId, Double> slowness = new HashMap<>();
  private final ServiceTimes times;
  private final double maxPauseMs;
  private final boolean avoidsDelays;

  /**
   * Creates a selector for one turn of granting.
   *
   * @param service the service's upstreams
   * @param conditions their conditions
   * @param maxPauseMs longest pause between events that the service's routes allow, infinite if
   *     none of them limits it
   * @param nowNs current time, in nanoseconds
   */
  GrantUpstreamSelector(
      Collection<Registration> service,
      UpstreamConditionTracker conditions,
      double maxPauseMs,
      long nowNs) {
    this.maxPauseMs = maxPauseMs;
    double eventMs =
        conditions.meanEventLatencyMs(
            service.stream().map(Registration::upstreamIncarnation).toList());
    times = ServiceTimes.ofEventLatency(eventMs > 0 ? eventMs : 1);
    for (Registration upstream : service) {
      UpstreamIncarnation incarnation = upstream.upstreamIncarnation();
      upstreams.put(upstream.id(), upstream);
      slowness.put(upstream.id(), conditions.slowness(incarnation, eventMs, nowNs));
    }
    avoidsDelays =
        service.stream()
            .filter(upstream -> upstream.phase() == RegistrationPhase.READY)
            .map(upstream -> new FreeUpstream(upstream.id(), upstream.slots(), false))
            .anyMatch(upstream -> !delaysStreams(upstream));
  }

  /** Selects one of the upstreams with free slots, empty if the slots should stay free for now. */
  Optional<UpstreamId> select(Stream<FreeUpstream> free) {
    return free.filter(upstream -> !avoidsDelays || !delaysStreams(upstream))
        .min(Comparator.comparingDouble(this::expectedMs))
        .map(FreeUpstream::id);
  }

  private double expectedMs(FreeUpstream upstream) {
    return times.expectedFirstEventMs(workload(upstream), ServiceTimes.TYPICAL_PROMPT_TOKENS);
  }

  private boolean delaysStreams(FreeUpstream upstream) {
    return times.expectedPauseMs(workload(upstream), ServiceTimes.TYPICAL_PROMPT_TOKENS)
        > maxPauseMs;
  }

  private UpstreamWorkload workload(FreeUpstream upstream) {
    int slots = Math.max(1, upstreams.get(upstream.id()).slots());
    return new UpstreamWorkload(
        slowness.get(upstream.id()),
        upstream.hasUnreadPrompt() ? 1 : 0,
        (double) (slots - upstream.freeSlots()) / slots);
  }
}
