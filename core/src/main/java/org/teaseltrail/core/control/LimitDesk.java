package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrail.core.backpressure.LimitBook;
import org.teaseltrail.core.backpressure.LimitSighting;
import org.teaseltrail.core.backpressure.PermitBucket;
import org.teaseltrail.core.backpressure.SendPermit;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.registry.UpstreamLife;
import org.teaseltrail.core.serving.PermitsWanted;
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
final class LimitDesk {

  private static final long NS_PER_MS = 1_000_000L;

  /** Time for which a permit is good from when the VM asked; some of its syncs. */
  private static final long PERMIT_FOR_MS = 1_000;

  /** Time for which a more urgent want of another VM goes first: a little over a usual sync. */
  private static final long WANTED_FOR_NS = 300 * NS_PER_MS;

  private record Want(PermitsWanted wanted, long untilNs) {}

  private final LimitBook book = new LimitBook();
  private final Map<UpstreamLife, PermitBucket> buckets = new HashMap<>();
  private final Map<VmId, Map<ServiceId, Want>> wants = new HashMap<>();
  private long revision;

  /** Grows whenever another set of upstreams has limits, from 0. */
  long revision() {
    return revision;
  }

  boolean isLimited(Registration upstream) {
    return book.limit(upstream.life()).isLimited();
  }

  /**
   * Takes what a VM heard of upstreams.
   *
   * @return whether another set of upstreams has limits now
   */
  boolean heard(List<LimitSighting> sightings, long nowNs) {
    boolean changed = false;
    for (LimitSighting sighting : sightings) {
      UpstreamLife upstream = sighting.upstream();
      final boolean wasLimited = book.limit(upstream).isLimited();
      book.note(upstream, sighting.limit(), nowNs - sighting.agoMs() * NS_PER_MS);
      changed |= wasLimited != book.limit(upstream).isLimited();
    }
    revision += changed ? 1 : 0;
    return changed;
  }

  /** Returns what VMs are told. */
  ServingReply.LimitUpdate update(FencingNumber leadership, long nowNs) {
    return new ServingReply.LimitUpdate(leadership, book.sightings(upstream -> true, nowNs));
  }

  /**
   * Gives permits out to a VM that asks.
   *
   * @param asking what it wants
   * @param upstreams all upstreams that may get requests
   * @param nowNs time
   */
  ServingReply.SendPermits permits(
      FencingNumber leadership,
      ServingMessage.Limits asking,
      Collection<Registration> upstreams,
      long nowNs) {
    Map<ServiceId, Want> latest = new HashMap<>();
    wants.put(asking.vm(), latest);
    List<SendPermit> given = new ArrayList<>();
    for (PermitsWanted wanted : asking.wanted()) {
      latest.put(wanted.service(), new Want(wanted, nowNs + WANTED_FOR_NS));
      if (!isOthersTurn(asking.vm(), wanted, nowNs)) {
        int left = give(wanted, upstreams, given, nowNs);
        if (left < wanted.requests()) {
          latest.remove(wanted.service());
        }
      }
    }
    return new ServingReply.SendPermits(leadership, asking.sequence(), PERMIT_FOR_MS, given);
  }

  /** Forgets a VM that has fallen silent. */
  void forget(VmId vm) {
    wants.remove(vm);
  }

  /** Forgets limits of upstreams that are gone. */
  void retain(Set<UpstreamLife> present, long nowNs) {
    book.forget(present, nowNs);
    buckets.keySet().removeIf(upstream -> !book.limit(upstream).isLimited());
  }

  private boolean isOthersTurn(VmId asking, PermitsWanted wanted, long nowNs) {
    return wants.entrySet().stream()
        .filter(other -> !other.getKey().equals(asking))
        .map(other -> other.getValue().get(wanted.service()))
        .anyMatch(
            other ->
                other != null && nowNs <= other.untilNs() && other.wanted().goesBefore(wanted));
  }

  /** Returns how many of the wanted permits were not given. */
  private int give(
      PermitsWanted wanted,
      Collection<Registration> upstreams,
      List<SendPermit> given,
      long nowNs) {
    int left = wanted.requests();
    for (Registration upstream : upstreams) {
      boolean fits =
          upstream.service().equals(wanted.service())
              && upstream.phase() == RegistrationPhase.READY
              && isLimited(upstream);
      if (fits && left > 0) {
        UpstreamLife life = upstream.life();
        PermitBucket bucket = buckets.computeIfAbsent(life, key -> new PermitBucket(nowNs));
        int taken = bucket.take(book.limit(life), left, nowNs);
        left -= taken;
        if (taken > 0) {
          given.add(new SendPermit(life, taken));
        }
      }
    }
    return left;
  }
}
