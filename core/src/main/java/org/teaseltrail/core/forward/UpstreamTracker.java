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

/** Holds this VM's views of all registered upstreams. */
final class UpstreamTracker {

  /** Lives of which it is remembered what they asked for, though their registration has lapsed. */
  private static final int MOST_LAPSED = 1_000;

  private final Map<UpstreamId, UpstreamState> views = new LinkedHashMap<>();
  private final Map<UpstreamIncarnation, BackpressureState> asked = new LinkedHashMap<>();
  private Map<ServiceId, List<UpstreamState>> byService = Map.of();
  private List<UpstreamState> inOrder = List.of();
  private long revision = -1;
  private long latestBackoffEndNs = Long.MIN_VALUE;
  private int limitedLives;
  private boolean anyLeaves;

  long revision() {
    return revision;
  }

  /**
   * Takes newer registrations over; what is believed of those that stay is kept. A new life under
   * the same id begins with nothing believed: it holds no prompt and works on no request.
   */
  void update(long newRevision, List<Registration> present) {
    if (newRevision <= revision) {
      return;
    }
    revision = newRevision;
    Map<UpstreamId, Registration> newer = new LinkedHashMap<>();
    present.forEach(registration -> newer.put(registration.id(), registration));
    views.keySet().retainAll(newer.keySet());
    Map<ServiceId, List<UpstreamState>> grouped = new HashMap<>();
    newer.forEach(
        (id, registration) -> {
          UpstreamState view = views.get(id);
          if (view == null
              || !view.registration()
                  .upstreamIncarnation()
                  .equals(registration.upstreamIncarnation())) {
            view =
                new UpstreamState(registration, backpressure(registration.upstreamIncarnation()));
            views.put(id, view);
          }
          view.update(registration);
          grouped.computeIfAbsent(registration.service(), key -> new ArrayList<>()).add(view);
        });
    byService = grouped;
    inOrder = newer.keySet().stream().map(views::get).toList();
    forgetLapsed();
  }

  private void forgetLapsed() {
    Set<UpstreamIncarnation> present = incarnations();
    int most = present.size() + MOST_LAPSED;
    Iterator<UpstreamIncarnation> eldestFirst = asked.keySet().iterator();
    while (asked.size() > most && eldestFirst.hasNext()) {
      UpstreamIncarnation eldest = eldestFirst.next();
      if (!present.contains(eldest)) {
        limitedLives -= asked.get(eldest).isLimited() ? 1 : 0;
        eldestFirst.remove();
      }
    }
  }

  /** Takes that an upstream wants nothing for a while; returns whether it wasn't so already. */
  boolean startBackoff(UpstreamIncarnation upstream, long backoffMs, long nowNs) {
    BackpressureState asking = backpressure(upstream);
    boolean news = asking.startBackoff(backoffMs, nowNs);
    latestBackoffEndNs = Math.max(latestBackoffEndNs, asking.backoffEndNs());
    return news;
  }

  /** Takes that an upstream is about to leave; returns whether that is news. */
  boolean markLeaving(UpstreamIncarnation upstream) {
    anyLeaves = true;
    return backpressure(upstream).markLeaving();
  }

  /** Tells whether any upstream may take nothing now, so that each must be looked at. */
  boolean mayHaveUnavailable(long nowNs) {
    return anyLeaves || mayHaveBackedOff(nowNs);
  }

  /** Tells whether any upstream may be backed off now, so that each must be looked at. */
  boolean mayHaveBackedOff(long nowNs) {
    return nowNs < latestBackoffEndNs;
  }

  /** Takes whether an upstream names a limit. */
  void setLimited(UpstreamIncarnation upstream, boolean isLimited) {
    BackpressureState asking = backpressure(upstream);
    if (asking.isLimited() != isLimited) {
      limitedLives += isLimited ? 1 : -1;
      asking.setLimited(isLimited);
    }
  }

  /** Tells whether any upstream names a limit, so that each must be looked at. */
  boolean hasLimited() {
    return limitedLives > 0;
  }

  /** Returns what a life of an upstream has asked for. */
  BackpressureState backpressure(UpstreamIncarnation upstream) {
    return asked.computeIfAbsent(upstream, key -> new BackpressureState());
  }

  /** Returns the lives of all registered upstreams. */
  Set<UpstreamIncarnation> incarnations() {
    return inOrder.stream()
        .map(view -> view.registration().upstreamIncarnation())
        .collect(Collectors.toSet());
  }

  /** Returns the registered upstreams that have named limits. */
  List<UpstreamState> limited() {
    return inOrder.stream().filter(view -> view.backpressure().isLimited()).toList();
  }

  /** Takes what the leader tells of the places at the upstreams of a revision. */
  void updateSlots(UpstreamSlots places, long ofRevision, long nowNs) {
    boolean ofThese = ofRevision == revision && places.elsewhere().size() == inOrder.size();
    if (places.isNone() || !ofThese) {
      return;
    }
    for (int i = 0; i < inOrder.size(); i++) {
      inOrder.get(i).updateSlots(places.elsewhere().get(i), places.ownParts().get(i), nowNs);
    }
  }

  /** Corrects what the others have at an upstream by what it has told itself. */
  void recordLoad(UpstreamId upstream, int requests, long nowNs) {
    UpstreamState view = views.get(upstream);
    if (view != null) {
      view.elsewhere(Math.max(0, requests - view.ownInFlight()), nowNs);
    }
  }

  void recordEventLatency(UpstreamId upstream, double elapsedMs, long nowNs) {
    UpstreamState view = views.get(upstream);
    if (view != null) {
      view.recordEventLatency(elapsedMs, nowNs);
    }
  }

  Optional<UpstreamState> find(UpstreamId upstream) {
    return Optional.ofNullable(views.get(upstream));
  }

  Collection<UpstreamState> of(ServiceId service) {
    return byService.getOrDefault(service, List.of());
  }

  Map<UpstreamId, Integer> inFlight() {
    return positive(UpstreamState::ownInFlight);
  }

  Map<UpstreamId, Integer> unread() {
    return positive(UpstreamState::unread);
  }

  private Map<UpstreamId, Integer> positive(ToIntFunction<UpstreamState> count) {
    Map<UpstreamId, Integer> counts = new HashMap<>();
    views.forEach(
        (id, view) -> {
          if (count.applyAsInt(view) > 0) {
            counts.put(id, count.applyAsInt(view));
          }
        });
    return counts;
  }
}
