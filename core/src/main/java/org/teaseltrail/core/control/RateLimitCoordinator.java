package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.teaseltrail.core.backpressure.PermitBucket;
import org.teaseltrail.core.backpressure.RateLimitObservation;
import org.teaseltrail.core.backpressure.RateLimitRegistry;
import org.teaseltrail.core.backpressure.SendPermit;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.serving.PermitDemand;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Enforces, on the leader, the rate limits that upstreams announce, for all entry VMs together: a
 * request to such an upstream needs a permit, and permits are issued at the rate of the limit.
 *
 * <p>Prevents a limit from being enforced at each VM separately and exceeded by all of them
 * together. Permits expire quickly, so a VM that is partitioned or gone uses none later, and the
 * permits that two successive leaderships issue never exceed the rate.
 */
final class RateLimitCoordinator {

  private static final long NS_PER_MS = 1_000_000L;

  /** Validity of a permit, counted from the VM's request for it; several sync intervals. */
  private static final long PERMIT_VALIDITY_MS = 1_000;

  /**
   * Time for which a more urgent demand of another VM takes precedence: slightly more than a usual
   * sync interval.
   */
  private static final long DEMAND_VALIDITY_NS = 300 * NS_PER_MS;

  /** Revision of a VM that has to be sent the limits, if there are any. */
  private static final long NONE_SENT = 0;

  private record Demand(PermitDemand wanted, long validUntilNs) {}

  /** The revision of the limits that was sent to an incarnation of a VM. */
  private record SentRevision(Incarnation incarnation, long revision) {}

  private final Leadership leadership;

  private final RateLimitRegistry rateLimits = new RateLimitRegistry();
  private final Map<UpstreamIncarnation, PermitBucket> buckets = new HashMap<>();
  private final Map<VmId, Map<ServiceId, Demand>> demands = new HashMap<>();
  private final Map<VmId, SentRevision> sent = new HashMap<>();
  private long revision;

  RateLimitCoordinator(Leadership leadership) {
    this.leadership = leadership;
  }

  boolean isLimited(Registration upstream) {
    return rateLimits.limit(upstream.upstreamIncarnation()).isLimited();
  }

  /** Returns a number that changes whenever a present upstream becomes limited or unlimited. */
  long revision() {
    return revision;
  }

  /**
   * Sends a VM the list of rate-limited upstreams, unless it was sent to this incarnation already.
   */
  void onSync(ServingMessage.Sync sync) {
    SentRevision before = sent.get(sync.vm());
    boolean sameIncarnation = before != null && before.incarnation().equals(sync.incarnation());
    sent.put(
        sync.vm(),
        new SentRevision(sync.incarnation(), sameIncarnation ? before.revision() : NONE_SENT));
    sendLimits(sync.vm());
  }

  /**
   * Handles the limits that a VM observed and the permits that it requests. Notifies all VMs if the
   * set of rate-limited upstreams has changed, and issues permits.
   *
   * @param message the VM's observations and demands
   * @param upstreams all upstreams that may receive requests
   */
  void message(ServingMessage.Limits message, Collection<Registration> upstreams) {
    heard(message.sightings());
    if (isOutdated(message.sightings())) {
      sent.computeIfPresent(
          message.vm(), (vm, before) -> new SentRevision(before.incarnation(), NONE_SENT));
    }
    sent.keySet().forEach(this::sendLimits);
    List<SendPermit> permits = permits(message, upstreams);
    if (!permits.isEmpty()) {
      leadership.sendServing(
          message.vm(),
          new ServingReply.SendPermits(
              leadership.fencing(), message.sequence(), PERMIT_VALIDITY_MS, permits));
    }
  }

  private void sendLimits(VmId vm) {
    SentRevision before = sent.get(vm);
    if (before.revision() != revision) {
      sent.put(vm, new SentRevision(before.incarnation(), revision));
      leadership.sendServing(
          vm,
          new ServingReply.LimitUpdate(
              leadership.fencing(), rateLimits.sightings(upstream -> true, leadership.nowNs())));
    }
  }

  private void heard(List<RateLimitObservation> sightings) {
    boolean changed = false;
    for (RateLimitObservation observation : sightings) {
      UpstreamIncarnation upstream = observation.upstream();
      final boolean wasLimited = rateLimits.limit(upstream).isLimited();
      rateLimits.recordObservation(
          upstream, observation.limit(), leadership.nowNs() - observation.agoMs() * NS_PER_MS);
      changed |= wasLimited != rateLimits.limit(upstream).isLimited();
    }
    revision += changed ? 1 : 0;
  }

  /**
   * Returns whether a VM's observations contradict newer ones, because it missed a list: it would
   * wait for permits of a limit that has ended, and nobody issues any.
   */
  private boolean isOutdated(List<RateLimitObservation> sightings) {
    return sightings.stream()
        .anyMatch(
            observation ->
                observation.limit().isLimited()
                    != rateLimits.limit(observation.upstream()).isLimited());
  }

  private List<SendPermit> permits(
      ServingMessage.Limits message, Collection<Registration> upstreams) {
    long nowNs = leadership.nowNs();
    Map<ServiceId, Demand> latest = new HashMap<>();
    demands.put(message.vm(), latest);
    List<SendPermit> issued = new ArrayList<>();
    for (PermitDemand wanted : message.wanted()) {
      latest.put(wanted.service(), new Demand(wanted, nowNs + DEMAND_VALIDITY_NS));
      if (!hasMoreUrgentDemandElsewhere(message.vm(), wanted, nowNs)) {
        int remaining = issuePermits(wanted, upstreams, issued, nowNs);
        if (remaining < wanted.requests()) {
          latest.remove(wanted.service());
        }
      }
    }
    return issued;
  }

  /** Removes a VM whose syncs have timed out. */
  void removeVm(VmId vm) {
    demands.remove(vm);
    sent.remove(vm);
  }

  /** Removes the limits of upstreams that are no longer registered. */
  void retain(Collection<Registration> present) {
    Set<UpstreamIncarnation> upstreamIncarnations =
        present.stream().map(Registration::upstreamIncarnation).collect(Collectors.toSet());
    rateLimits.removeStale(upstreamIncarnations, leadership.nowNs());
    buckets.keySet().removeIf(upstream -> !rateLimits.limit(upstream).isLimited());
  }

  private boolean hasMoreUrgentDemandElsewhere(VmId requester, PermitDemand wanted, long nowNs) {
    return demands.entrySet().stream()
        .filter(other -> !other.getKey().equals(requester))
        .map(other -> other.getValue().get(wanted.service()))
        .anyMatch(
            other ->
                other != null
                    && nowNs <= other.validUntilNs()
                    && other.wanted().hasPriorityOver(wanted));
  }

  /** Returns how many of the requested permits were not issued. */
  private int issuePermits(
      PermitDemand wanted,
      Collection<Registration> upstreams,
      List<SendPermit> issued,
      long nowNs) {
    int remaining = wanted.requests();
    for (Registration upstream : upstreams) {
      boolean usable =
          upstream.service().equals(wanted.service())
              && upstream.phase() == RegistrationPhase.READY
              && isLimited(upstream);
      if (usable && remaining > 0) {
        UpstreamIncarnation upstreamIncarnation = upstream.upstreamIncarnation();
        PermitBucket bucket =
            buckets.computeIfAbsent(upstreamIncarnation, key -> new PermitBucket(nowNs));
        int taken = bucket.acquire(rateLimits.limit(upstreamIncarnation), remaining, nowNs);
        remaining -= taken;
        if (taken > 0) {
          issued.add(new SendPermit(upstreamIncarnation, taken));
        }
      }
    }
    return remaining;
  }
}
