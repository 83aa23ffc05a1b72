package org.teaseltrail.core.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.backpressure.RejectionLimit;
import org.teaseltrail.core.collection.OrderedCopies;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.serving.ServingMessage;

/**
 * Tracks services whose upstreams tolerate few rejections, by what this VM heard in responses and
 * what the leader told. Such a service's requests are sent only to slots that the leader granted,
 * or that belong to this VM alone, so that all VMs together never exceed an upstream's slots.
 */
final class RejectionLimitTracker {

  /** Time after which a limit that is still heard is reported to the leader again. */
  private static final long REPEAT_NS = 500_000_000L;

  private final VmId vm;
  private final Map<ServiceId, Long> heardNs = new HashMap<>();
  private final Set<ServiceId> news = new HashSet<>();
  private final Set<ServiceId> lifted = new HashSet<>();
  private FencingNumber fencing = new FencingNumber(0);
  private Set<ServiceId> told = Set.of();
  private long reportedNs;

  RejectionLimitTracker(VmId vm) {
    this.vm = vm;
  }

  /**
   * Records what a response says; returns whether that changes whether the service is sensitive.
   *
   * @param dispatchedNs when the request was dispatched, in nanoseconds; only a response to a later
   *     request than the newest one with a limit can lift it
   */
  boolean record(ServiceId service, RejectionLimit limit, long dispatchedNs, long nowNs) {
    boolean before = isSensitive(service);
    if (limit.isLimited()) {
      heardNs.put(service, nowNs);
      lifted.remove(service);
      news.add(service);
    } else if (before && dispatchedNs > heardNs.getOrDefault(service, 0L)) {
      heardNs.remove(service);
      lifted.add(service);
    }
    return before != isSensitive(service);
  }

  /**
   * Applies the leader's list of the services whose upstreams tolerate few rejections. What it no
   * longer lists is lifted here, too: VMs that disagreed would take slots from each other. What a
   * new leader doesn't list is reported to it first, since it may not have learnt of it.
   */
  void applyUpdate(FencingNumber leadership, List<ServiceId> services, long nowNs) {
    Set<ServiceId> now = OrderedCopies.setOf(services);
    if (leadership.equals(fencing)) {
      heardNs.keySet().removeIf(service -> told.contains(service) && !now.contains(service));
    } else {
      told.forEach(service -> heardNs.putIfAbsent(service, nowNs));
      news.addAll(heardNs.keySet());
    }
    fencing = leadership;
    told = now;
    news.removeAll(told);
    lifted.retainAll(told);
  }

  /** Returns whether the upstreams of a service tolerate few rejections. */
  boolean isSensitive(ServiceId service) {
    return heardNs.containsKey(service) || told.contains(service);
  }

  /**
   * Returns a report of all that is known, for members of which one may be a new leader; empty if
   * nothing is. A new leader that didn't know it before it divides the slots would give each VM
   * some, even if there are fewer slots than VMs.
   */
  Optional<ServingMessage> createFullReport() {
    Set<ServiceId> known = new HashSet<>(heardNs.keySet());
    known.addAll(told);
    return known.isEmpty()
        ? Optional.empty()
        : Optional.of(new ServingMessage.RejectionLimits(vm, List.copyOf(known), List.of()));
  }

  /**
   * Returns the report for the leader that goes with a sync. While this VM knows of any limit there
   * is one again and again, with or without news: the leader answers each with its list, so that a
   * list that was lost leaves no limit behind.
   */
  Optional<ServingMessage> createReport(long nowNs) {
    boolean isUnknownToLeader = !told.containsAll(news);
    boolean knowsAny = !heardNs.isEmpty() || !told.isEmpty();
    if (!isUnknownToLeader && (!knowsAny || nowNs - reportedNs < REPEAT_NS)) {
      return Optional.empty();
    }
    reportedNs = nowNs;
    ServingMessage report =
        new ServingMessage.RejectionLimits(vm, List.copyOf(news), List.copyOf(lifted));
    news.retainAll(heardNs.keySet());
    news.removeAll(told);
    return Optional.of(report);
  }
}
