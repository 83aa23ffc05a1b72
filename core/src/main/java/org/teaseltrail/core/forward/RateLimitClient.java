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
 * Tells the leader which limits upstreams name to this VM, asks for permits to send to them, and
 * takes over what other VMs heard.
 */
final class RateLimitClient {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Time for which news is told with each sync, and after which all is told again. Guards against a
   * leader that missed a limit, as the connection broke: it would give out no permits for it.
   */
  private static final long TELL_AGAIN_NS = 2_000 * NS_PER_MS;

  /** Time after which an answer to a question is no longer waited for. */
  private static final long ANSWERED_WITHIN_NS = 2_000 * NS_PER_MS;

  /** Permits of a service that are asked for at once, at most. */
  private static final int MOST_WANTED = 32;

  private final VmId vm;
  private final UpstreamTracker upstreams;
  private final RateLimitRegistry book = new RateLimitRegistry();
  private final Map<UpstreamIncarnation, Long> newsUntilNs = new HashMap<>();
  private final TreeMap<Long, Long> askedNs = new TreeMap<>();
  private FencingNumber toldTo = new FencingNumber(0);
  private long allToldNs;
  private long sequence;

  RateLimitClient(VmId vm, UpstreamTracker upstreams) {
    this.vm = vm;
    this.upstreams = upstreams;
  }

  /**
   * Takes what an answer to this VM says; returns whether the limit is another one now.
   *
   * <p>Only an answer to what was sent after the limit was last named lifts it. Guards against
   * answers that pass each other, or are read late and in any order after a freeze: one from before
   * the need would let all VMs send freely.
   */
  boolean recordRateLimit(
      UpstreamIncarnation upstream, RateLimit limit, long dispatchedNs, long nowNs) {
    if (!limit.isLimited() && dispatchedNs <= book.observedNs(upstream)) {
      return false;
    }
    boolean changed = note(upstream, limit, nowNs);
    if (changed) {
      newsUntilNs.put(upstream, nowNs + TELL_AGAIN_NS);
    }
    return changed;
  }

  /** Takes what answers to other VMs said. */
  void applyUpdate(ServingReply.LimitUpdate update, long nowNs) {
    for (RateLimitObservation sighting : update.sightings()) {
      note(sighting.upstream(), sighting.limit(), nowNs - sighting.agoMs() * NS_PER_MS);
    }
  }

  /** Takes permits, each for as long after the question as the leader says. */
  void applyPermits(ServingReply.SendPermits permits) {
    Long whenAskedNs = askedNs.remove(permits.sequence());
    if (whenAskedNs != null) {
      long untilNs = whenAskedNs + permits.forMs() * NS_PER_MS;
      for (SendPermit permit : permits.permits()) {
        upstreams.backpressure(permit.upstream()).addPermits(permit.requests(), untilNs);
      }
    }
  }

  /** Returns what the leader is to be told with a sync, if any limit is known. */
  Optional<ServingMessage> createReport(FencingNumber leadership, RequestQueues lines, long nowNs) {
    if (book.isEmpty()) {
      return Optional.empty();
    }
    book.removeStale(upstreams.incarnations(), nowNs)
        .forEach(gone -> upstreams.setLimited(gone, false));
    newsUntilNs.values().removeIf(untilNs -> nowNs > untilNs);
    boolean all = !leadership.equals(toldTo) || nowNs - allToldNs > TELL_AGAIN_NS;
    allToldNs = all ? nowNs : allToldNs;
    toldTo = leadership;
    List<RateLimitObservation> told =
        book.sightings(life -> all || newsUntilNs.containsKey(life), nowNs);
    List<PermitDemand> wanted = wanted(lines, nowNs);
    if (told.isEmpty() && wanted.isEmpty()) {
      return Optional.empty();
    }
    askedNs.values().removeIf(atNs -> nowNs - atNs > ANSWERED_WITHIN_NS);
    askedNs.put(++sequence, nowNs);
    return Optional.of(new ServingMessage.Limits(vm, sequence, told, wanted));
  }

  private boolean note(UpstreamIncarnation upstream, RateLimit limit, long seenNs) {
    boolean changed = book.recordObservation(upstream, limit, seenNs);
    if (changed) {
      upstreams.setLimited(upstream, limit.isLimited());
    }
    return changed;
  }

  /** Wants as many permits as there are requests here, less those in hand. */
  private List<PermitDemand> wanted(RequestQueues lines, long nowNs) {
    Set<ServiceId> services = new HashSet<>();
    upstreams.limited().forEach(view -> services.add(view.registration().service()));
    List<PermitDemand> wanted = new ArrayList<>();
    for (ServiceId service : services) {
      int here = lines.of(service).size();
      for (UpstreamState view : upstreams.of(service)) {
        here += view.ownInFlight() - view.backpressure().permits(nowNs);
      }
      if (here > 0) {
        int requests = Math.min(MOST_WANTED, here);
        wanted.add(new PermitDemand(service, requests, lines.of(service).mostUrgent()));
      }
    }
    return wanted;
  }
}
