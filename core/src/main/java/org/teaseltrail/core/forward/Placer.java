package org.teaseltrail.core.forward;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.serving.SlotUsage;

/** Sends requests to upstreams that have room, and counts the places that they hold there. */
final class Placer {

  /** Requests at an engine, in relation to its places, beyond which others wait here. */
  private static final double ENGINE_FILL = 1.0;

  /** The same for requests that nobody is owed a place for. */
  private static final double FREE_ROOM_FILL = 0.6;

  private final PlacementRule placement;
  private final VersionGate gate;
  private final Predicate<ServiceId> isEngine;
  private final DueRequests due;
  private final Consumer<ForwardAction> out;
  private final PlaceCount places = new PlaceCount();
  private long dispatches;

  Placer(
      PlacementRule placement,
      VersionGate gate,
      Predicate<ServiceId> isEngine,
      DueRequests due,
      Consumer<ForwardAction> out) {
    this.placement = placement;
    this.gate = gate;
    this.isEngine = isEngine;
    this.due = due;
    this.out = out;
  }

  /** Places a request if there is room for it; returns whether it was placed. */
  boolean place(TrackedForward request, long nowNs) {
    return placeAmong(request, gate.open(request.service()), nowNs);
  }

  /** Does the same at some upstreams only. */
  boolean placeAmong(TrackedForward request, Collection<UpstreamView> views, long nowNs) {
    return placeIfRoom(request, views, ENGINE_FILL, nowNs);
  }

  /** Does the same for a request that nobody is owed a place for. */
  boolean placeInFreeRoom(TrackedForward request, long nowNs) {
    return placeIfRoom(request, gate.open(request.service()), FREE_ROOM_FILL, nowNs);
  }

  /**
   * Sends a request to the ordered version of a rollout if the leader has lent that. A repeat never
   * goes there: its caller has waited once already.
   */
  boolean placeAsCanary(TrackedForward request, long nowNs) {
    if (request.attempts() > 0) {
      return false;
    }
    List<UpstreamView> targets = gate.canaries(request.service(), nowNs);
    if (targets.isEmpty()) {
      return false;
    }
    Optional<UpstreamView> chosen = choose(request, targets, ENGINE_FILL, nowNs);
    chosen.ifPresent(
        view -> {
          request.markCanary();
          dispatch(request, view, nowNs);
        });
    return chosen.isPresent();
  }

  /** Places a request at the upstream that was granted for it, if it may go there. */
  boolean placeAt(TrackedForward request, UpstreamView view, long nowNs) {
    boolean accepted = placement.accepts(request, gate.open(request.service()), view, nowNs);
    if (accepted) {
      dispatch(request, view, nowNs);
    }
    return accepted;
  }

  /** Takes in that a request no longer holds its place. */
  void freed(TrackedForward request) {
    places.freed(request);
  }

  /** Tells which kinds of requests hold the places that are in use. */
  List<SlotUsage> held() {
    return places.all();
  }

  /** Returns how many requests were sent in all. */
  long dispatches() {
    return dispatches;
  }

  private boolean placeIfRoom(
      TrackedForward request, Collection<UpstreamView> views, double fill, long nowNs) {
    Optional<UpstreamView> chosen = choose(request, views, fill, nowNs);
    chosen.ifPresent(view -> dispatch(request, view, nowNs));
    return chosen.isPresent();
  }

  private Optional<UpstreamView> choose(
      TrackedForward request, Collection<UpstreamView> views, double fill, long nowNs) {
    boolean engine = isEngine.test(request.service());
    return placement.choose(request, views, engine, fill, nowNs);
  }

  private void dispatch(TrackedForward request, UpstreamView view, long nowNs) {
    view.sent();
    gate.sent(request, view);
    places.taken(request);
    dispatches++;
    request.sentTo(view, nowNs);
    due.schedule(request);
    out.accept(
        new ForwardAction.Dispatch(
            request.number(),
            request.attempts(),
            view.registration(),
            request.route(),
            request.customer(),
            request.leftMs(nowNs),
            request.isCanary()));
  }
}
