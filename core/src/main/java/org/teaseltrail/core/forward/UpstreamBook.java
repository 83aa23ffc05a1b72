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
final class UpstreamBook {

  /** Lives of which it is remembered what they asked for, though their registration has lapsed. */
  private static final int MOST_LAPSED = 1_000;

  private final Map<UpstreamId, UpstreamView> views = new LinkedHashMap<>();
  private final Map<UpstreamIncarnation, Backpressure> asked = new LinkedHashMap<>();
  private Map<ServiceId, List<UpstreamView>> byService = Map.of();
  private List<UpstreamView> inOrder = List.of();
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
    Map<ServiceId, List<UpstreamView>> grouped = new HashMap<>();
    newer.forEach(
        (id, registration) -> {
          UpstreamView view = views.get(id);
          if (view == null || !view.registration().upstreamIncarnation().equals(registration.upstreamIncarnation())) {
            view = new UpstreamView(registration, backpressure(registration.upstreamIncarnation()));
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
    Set<UpstreamIncarnation> present = lives();
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
  boolean backOff(UpstreamIncarnation upstream, long backoffMs, long nowNs) {
    Backpressure asking = backpressure(upstream);
    boolean news = asking.backOff(backoffMs, nowNs);
    latestBackoffEndNs = Math.max(latestBackoffEndNs, asking.backoffUntilNs());
    return news;
  }

  /** Takes that an upstream is about to leave; returns whether that is news. */
  boolean leave(UpstreamIncarnation upstream) {
    anyLeaves = true;
    return backpressure(upstream).leave();
  }

  /** Tells whether any upstream may take nothing now, so that each must be looked at. */
  boolean mayTakeNone(long nowNs) {
    return anyLeaves || mayBeBackedOff(nowNs);
  }

  /** Tells whether any upstream may be backed off now, so that each must be looked at. */
  boolean mayBeBackedOff(long nowNs) {
    return nowNs < latestBackoffEndNs;
  }

  /** Takes whether an upstream names a limit. */
  void markLimited(UpstreamIncarnation upstream, boolean isLimited) {
    Backpressure asking = backpressure(upstream);
    if (asking.isLimited() != isLimited) {
      limitedLives += isLimited ? 1 : -1;
      asking.limited(isLimited);
    }
  }

  /** Tells whether any upstream names a limit, so that each must be looked at. */
  boolean anyLimited() {
    return limitedLives > 0;
  }

  /** Returns what a life of an upstream has asked for. */
  Backpressure backpressure(UpstreamIncarnation upstream) {
    return asked.computeIfAbsent(upstream, key -> new Backpressure());
  }

  /** Returns the lives of all registered upstreams. */
  Set<UpstreamIncarnation> lives() {
    return inOrder.stream().map(view -> view.registration().upstreamIncarnation()).collect(Collectors.toSet());
  }

  /** Returns the registered upstreams that have named limits. */
  List<UpstreamView> limited() {
    return inOrder.stream().filter(view -> view.backpressure().isLimited()).toList();
  }

  /** Takes what the leader tells of the places at the upstreams of a revision. */
  void placesTold(UpstreamSlots places, long ofRevision, long nowNs) {
    boolean ofThese = ofRevision == revision && places.elsewhere().size() == inOrder.size();
    if (places.isNone() || !ofThese) {
      return;
    }
    for (int i = 0; i < inOrder.size(); i++) {
      inOrder.get(i).placesTold(places.elsewhere().get(i), places.ownParts().get(i), nowNs);
    }
  }

  /** Corrects what the others have at an upstream by what it has told itself. */
  void loadTold(UpstreamId upstream, int requests, long nowNs) {
    UpstreamView view = views.get(upstream);
    if (view != null) {
      view.elsewhere(Math.max(0, requests - view.own()), nowNs);
    }
  }

  void pace(UpstreamId upstream, double elapsedMs, long nowNs) {
    UpstreamView view = views.get(upstream);
    if (view != null) {
      view.pace(elapsedMs, nowNs);
    }
  }

  Optional<UpstreamView> find(UpstreamId upstream) {
    return Optional.ofNullable(views.get(upstream));
  }

  Collection<UpstreamView> of(ServiceId service) {
    return byService.getOrDefault(service, List.of());
  }

  Map<UpstreamId, Integer> inFlight() {
    return positive(UpstreamView::own);
  }

  Map<UpstreamId, Integer> unread() {
    return positive(UpstreamView::unread);
  }

  private Map<UpstreamId, Integer> positive(ToIntFunction<UpstreamView> count) {
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
