package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.serving.UpstreamSlots;

/** Tracks the state of all registered upstreams as this VM sees it. */
final class UpstreamTracker {

  /**
   * Maximum number of incarnations whose backpressure state is retained after their registration
   * has expired.
   */
  private static final int MAX_EXPIRED = 1_000;

  private final Map<UpstreamId, UpstreamState> byId = new LinkedHashMap<>();
  private final Map<UpstreamIncarnation, BackpressureState> asked = new LinkedHashMap<>();
  private Map<ServiceId, List<UpstreamState>> byService = Map.of();
  private List<UpstreamState> inOrder = List.of();
  private long revision = -1;
  private long latestBackoffEndNs = Long.MIN_VALUE;
  private int limitedCount;
  private boolean anyLeaving;

  long revision() {
    return revision;
  }

  /**
   * Applies newer registrations; the state of upstreams that remain is kept. A new incarnation
   * under the same id starts with empty state: it has no cached prompts and runs no requests.
   */
  void update(long newRevision, List<Registration> present) {
    if (newRevision <= revision) {
      return;
    }
    revision = newRevision;
    Map<UpstreamId, Registration> newer = new LinkedHashMap<>();
    present.forEach(registration -> newer.put(registration.id(), registration));
    byId.keySet().retainAll(newer.keySet());
    Map<ServiceId, List<UpstreamState>> grouped = new HashMap<>();
    newer.forEach(
        (id, registration) -> {
          UpstreamState state = byId.get(id);
          if (state == null
              || !state
                  .registration()
                  .upstreamIncarnation()
                  .equals(registration.upstreamIncarnation())) {
            state =
                new UpstreamState(registration, backpressure(registration.upstreamIncarnation()));
            byId.put(id, state);
          }
          state.update(registration);
          grouped.computeIfAbsent(registration.service(), key -> new ArrayList<>()).add(state);
        });
    byService = grouped;
    inOrder = newer.keySet().stream().map(byId::get).toList();
    dropExpired();
  }

  private void dropExpired() {
    Set<UpstreamIncarnation> present = incarnations();
    int maxRetained = present.size() + MAX_EXPIRED;
    Iterator<UpstreamIncarnation> oldestFirst = asked.keySet().iterator();
    while (asked.size() > maxRetained && oldestFirst.hasNext()) {
      UpstreamIncarnation oldest = oldestFirst.next();
      if (!present.contains(oldest)) {
        limitedCount -= asked.get(oldest).isLimited() ? 1 : 0;
        oldestFirst.remove();
      }
    }
  }

  /** Records that an upstream requested backoff; returns whether it wasn't backed off already. */
  boolean startBackoff(UpstreamIncarnation upstream, long backoffMs, long nowNs) {
    BackpressureState pressure = backpressure(upstream);
    boolean isNew = pressure.startBackoff(backoffMs, nowNs);
    latestBackoffEndNs = Math.max(latestBackoffEndNs, pressure.backoffEndNs());
    return isNew;
  }

  /** Records that an upstream is about to leave; returns whether that wasn't known. */
  boolean markLeaving(UpstreamIncarnation upstream) {
    anyLeaving = true;
    return backpressure(upstream).markLeaving();
  }

  /** Returns whether any upstream may be unavailable now, so that each must be checked. */
  boolean mayHaveUnavailable(long nowNs) {
    return anyLeaving || mayHaveBackedOff(nowNs);
  }

  /** Returns whether any upstream may be backed off now, so that each must be checked. */
  boolean mayHaveBackedOff(long nowNs) {
    return nowNs < latestBackoffEndNs;
  }

  /** Sets whether an upstream has named a rate limit. */
  void setLimited(UpstreamIncarnation upstream, boolean isLimited) {
    BackpressureState pressure = backpressure(upstream);
    if (pressure.isLimited() != isLimited) {
      limitedCount += isLimited ? 1 : -1;
      pressure.setLimited(isLimited);
    }
  }

  /** Returns whether any upstream has named a rate limit, so that each must be checked. */
  boolean hasLimited() {
    return limitedCount > 0;
  }

  /** Returns the backpressure state of an incarnation of an upstream. */
  BackpressureState backpressure(UpstreamIncarnation upstream) {
    return asked.computeIfAbsent(upstream, key -> new BackpressureState());
  }

  /** Returns the incarnations of all registered upstreams. */
  Set<UpstreamIncarnation> incarnations() {
    return inOrder.stream()
        .map(state -> state.registration().upstreamIncarnation())
        .collect(Collectors.toSet());
  }

  /** Returns the registered upstreams that have named rate limits. */
  List<UpstreamState> limited() {
    return inOrder.stream().filter(state -> state.backpressure().isLimited()).toList();
  }

  /** Applies the leader's report of the slots at the upstreams of a registry revision. */
  void updateSlots(UpstreamSlots places, long forRevision, long nowNs) {
    boolean matches = forRevision == revision && places.elsewhere().size() == inOrder.size();
    if (places.isNone() || !matches) {
      return;
    }
    for (int i = 0; i < inOrder.size(); i++) {
      inOrder.get(i).updateSlots(places.elsewhere().get(i), places.ownParts().get(i), nowNs);
    }
  }

  /**
   * Corrects the number of other VMs' requests at an upstream by the load that the upstream itself
   * reported.
   */
  void recordLoad(UpstreamId upstream, int requests, long nowNs) {
    UpstreamState state = byId.get(upstream);
    if (state != null) {
      state.elsewhere(Math.max(0, requests - state.ownInFlight()), nowNs);
    }
  }

  void recordEventLatency(UpstreamId upstream, double elapsedMs, long nowNs) {
    UpstreamState state = byId.get(upstream);
    if (state != null) {
      state.recordEventLatency(elapsedMs, nowNs);
    }
  }

  Optional<UpstreamState> find(UpstreamId upstream) {
    return Optional.ofNullable(byId.get(upstream));
  }

  /** Returns the services that have registered upstreams. */
  Set<ServiceId> services() {
    return byService.keySet();
  }

  Collection<UpstreamState> of(ServiceId service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Frees the slots that counted as used after a rejection for long enough. */
  void releaseRejectedSlots(long nowNs) {
    inOrder.forEach(state -> state.releaseRejectedSlots(nowNs));
  }

  /** Returns some upstreams that are to be probed now, which then count as probed. */
  List<UpstreamId> pollProbes(int max, long nowNs) {
    return inOrder.stream()
        .filter(state -> state.pollProbe(nowNs))
        .map(state -> state.registration().id())
        .limit(max)
        .toList();
  }

  /** Returns the sum of a number of each registered upstream. */
  int sum(ToIntFunction<UpstreamState> number) {
    return inOrder.stream().mapToInt(number).sum();
  }

  Map<UpstreamId, Integer> inFlight() {
    return positiveCounts(UpstreamState::ownInFlight);
  }

  Map<UpstreamId, Integer> unread() {
    return positiveCounts(UpstreamState::unread);
  }

  private Map<UpstreamId, Integer> positiveCounts(ToIntFunction<UpstreamState> count) {
    Map<UpstreamId, Integer> counts = new HashMap<>();
    byId.forEach(
        (id, state) -> {
          if (count.applyAsInt(state) > 0) {
            counts.put(id, count.applyAsInt(state));
          }
        });
    return counts;
  }
}
