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
 * Keeps, on the leader, the limits that upstreams name, as sums over all entry VMs: a request to
 * such an upstream needs a permit, and permits are given out at the limit's rate.
 *
 * <p>Guards against a limit that holds at each VM and not over all. A permit lapses soon, so a VM
 * that is cut off or gone uses none later, and what two leaderships give out one after the other is
 * never more than the rate allows.
 */
final class RateLimitCoordinator {

  private static final long NS_PER_MS = 1_000_000L;

  /** Time for which a permit is good from when the VM asked; some of its syncs. */
  private static final long PERMIT_VALIDITY_MS = 1_000;

  /** Time for which a more urgent want of another VM goes first: a little over a usual sync. */
  private static final long DEMAND_VALIDITY_NS = 300 * NS_PER_MS;

  private record Want(PermitDemand wanted, long untilNs) {}

  /** Is which state of the limits a life of a VM was told. */
  private record Told(Incarnation incarnation, long revision) {}

  private final Leadership leadership;

  private final RateLimitRegistry book = new RateLimitRegistry();
  private final Map<UpstreamIncarnation, PermitBucket> buckets = new HashMap<>();
  private final Map<VmId, Map<ServiceId, Want>> wants = new HashMap<>();
  private final Map<VmId, Told> told = new HashMap<>();
  private long revision;

  RateLimitCoordinator(Leadership leadership) {
    this.leadership = leadership;
  }

  boolean isLimited(Registration upstream) {
    return book.limit(upstream.upstreamIncarnation()).isLimited();
  }

  /** Tells a VM which upstreams have limits, unless this life of it was told. */
  void onSync(ServingMessage.Sync sync) {
    Told before = told.get(sync.vm());
    boolean sameLife = before != null && before.incarnation().equals(sync.incarnation());
    told.put(sync.vm(), new Told(sync.incarnation(), sameLife ? before.revision() : 0));
    tell(sync.vm());
  }

  /**
   * Takes what a VM heard, tells all VMs if another set of upstreams has limits now, and gives out
   * permits.
   *
   * @param message what the VM heard and wants
   * @param upstreams all upstreams that may get requests
   */
  void message(ServingMessage.Limits message, Collection<Registration> upstreams) {
    heard(message.sightings());
    told.keySet().forEach(this::tell);
    List<SendPermit> permits = permits(message, upstreams);
    if (!permits.isEmpty()) {
      leadership.sendServing(
          message.vm(),
          new ServingReply.SendPermits(
              leadership.fencing(), message.sequence(), PERMIT_VALIDITY_MS, permits));
    }
  }

  private void tell(VmId vm) {
    Told before = told.get(vm);
    if (before.revision() != revision) {
      told.put(vm, new Told(before.incarnation(), revision));
      leadership.sendServing(
          vm,
          new ServingReply.LimitUpdate(
              leadership.fencing(), book.sightings(upstream -> true, leadership.nowNs())));
    }
  }

  private void heard(List<RateLimitObservation> sightings) {
    boolean changed = false;
    for (RateLimitObservation sighting : sightings) {
      UpstreamIncarnation upstream = sighting.upstream();
      final boolean wasLimited = book.limit(upstream).isLimited();
      book.recordObservation(
          upstream, sighting.limit(), leadership.nowNs() - sighting.agoMs() * NS_PER_MS);
      changed |= wasLimited != book.limit(upstream).isLimited();
    }
    revision += changed ? 1 : 0;
  }

  private List<SendPermit> permits(
      ServingMessage.Limits asking, Collection<Registration> upstreams) {
    long nowNs = leadership.nowNs();
    Map<ServiceId, Want> latest = new HashMap<>();
    wants.put(asking.vm(), latest);
    List<SendPermit> given = new ArrayList<>();
    for (PermitDemand wanted : asking.wanted()) {
      latest.put(wanted.service(), new Want(wanted, nowNs + DEMAND_VALIDITY_NS));
      if (!isOthersTurn(asking.vm(), wanted, nowNs)) {
        int left = give(wanted, upstreams, given, nowNs);
        if (left < wanted.requests()) {
          latest.remove(wanted.service());
        }
      }
    }
    return given;
  }

  /** Forgets a VM that has fallen silent. */
  void removeVm(VmId vm) {
    wants.remove(vm);
    told.remove(vm);
  }

  /** Forgets limits of upstreams that are gone. */
  void retain(Collection<Registration> present) {
    Set<UpstreamIncarnation> lives =
        present.stream().map(Registration::upstreamIncarnation).collect(Collectors.toSet());
    book.removeStale(lives, leadership.nowNs());
    buckets.keySet().removeIf(upstream -> !book.limit(upstream).isLimited());
  }

  private boolean isOthersTurn(VmId asking, PermitDemand wanted, long nowNs) {
    return wants.entrySet().stream()
        .filter(other -> !other.getKey().equals(asking))
        .map(other -> other.getValue().get(wanted.service()))
        .anyMatch(
            other ->
                other != null
                    && nowNs <= other.untilNs()
                    && other.wanted().hasPriorityOver(wanted));
  }

  /** Returns how many of the wanted permits were not given. */
  private int give(
      PermitDemand wanted, Collection<Registration> upstreams, List<SendPermit> given, long nowNs) {
    int left = wanted.requests();
    for (Registration upstream : upstreams) {
      boolean fits =
          upstream.service().equals(wanted.service())
              && upstream.phase() == RegistrationPhase.READY
              && isLimited(upstream);
      if (fits && left > 0) {
        UpstreamIncarnation life = upstream.upstreamIncarnation();
        PermitBucket bucket = buckets.computeIfAbsent(life, key -> new PermitBucket(nowNs));
        int taken = bucket.acquire(book.limit(life), left, nowNs);
        left -= taken;
        if (taken > 0) {
          given.add(new SendPermit(life, taken));
        }
      }
    }
    return left;
  }
}
