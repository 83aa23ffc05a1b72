package org.teaseltrail.core.forward;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.serving.SlotUsage;

/** Sends requests to upstreams that have room, and counts the places that they hold there. */
final class RequestDispatcher {

  /** Requests at an engine, in relation to its places, beyond which others wait here. */
  private static final double ENGINE_FILL = 1.0;

  /** The same for requests that nobody is owed a place for. */
  private static final double FREE_ROOM_FILL = 0.6;

  private final LoadBalancingPolicy placement;
  private final VersionRouter gate;
  private final Predicate<ServiceId> isEngine;
  private final DeadlineQueue due;
  private final Consumer<ForwardAction> out;
  private final SlotUsageCounter places = new SlotUsageCounter();
  private long dispatchCount;

  RequestDispatcher(
      LoadBalancingPolicy placement,
      VersionRouter gate,
      Predicate<ServiceId> isEngine,
      DeadlineQueue due,
      Consumer<ForwardAction> out) {
    this.placement = placement;
    this.gate = gate;
    this.isEngine = isEngine;
    this.due = due;
    this.out = out;
  }

  /** Places a request if there is room for it; returns whether it was placed. */
  boolean tryDispatch(ActiveRequest request, long nowNs) {
    return tryDispatchAmong(request, gate.routableUpstreams(request.service()), nowNs);
  }

  /** Does the same at some upstreams only. */
  boolean tryDispatchAmong(ActiveRequest request, Collection<UpstreamState> views, long nowNs) {
    return placeIfRoom(request, views, ENGINE_FILL, nowNs);
  }

  /** Does the same for a request that nobody is owed a place for. */
  boolean tryDispatchToSpareCapacity(ActiveRequest request, long nowNs) {
    return placeIfRoom(request, gate.routableUpstreams(request.service()), FREE_ROOM_FILL, nowNs);
  }

  /**
   * Sends a request to the ordered version of a rollout if the leader has lent that. A repeat never
   * goes there: its caller has waited once already.
   */
  boolean tryDispatchAsCanary(ActiveRequest request, long nowNs) {
    if (request.attempts() > 0) {
      return false;
    }
    List<UpstreamState> targets = gate.canaryUpstreams(request.service(), nowNs);
    if (targets.isEmpty()) {
      return false;
    }
    Optional<UpstreamState> chosen = choose(request, targets, ENGINE_FILL, nowNs);
    chosen.ifPresent(
        view -> {
          request.markCanary();
          dispatch(request, view, nowNs);
        });
    return chosen.isPresent();
  }

  /** Places a request at the upstream that was granted for it, if it may go there. */
  boolean tryDispatchTo(ActiveRequest request, UpstreamState view, long nowNs) {
    boolean accepted =
        placement.canDispatchTo(request, gate.routableUpstreams(request.service()), view, nowNs);
    if (accepted) {
      dispatch(request, view, nowNs);
    }
    return accepted;
  }

  /** Takes in that a request no longer holds its place. */
  void releaseSlot(ActiveRequest request) {
    places.release(request);
  }

  /** Tells which kinds of requests hold the places that are in use. */
  List<SlotUsage> held() {
    return places.snapshot();
  }

  /** Returns how many requests were sent in all. */
  long dispatchCount() {
    return dispatchCount;
  }

  private boolean placeIfRoom(
      ActiveRequest request, Collection<UpstreamState> views, double fill, long nowNs) {
    Optional<UpstreamState> chosen = choose(request, views, fill, nowNs);
    chosen.ifPresent(view -> dispatch(request, view, nowNs));
    return chosen.isPresent();
  }

  private Optional<UpstreamState> choose(
      ActiveRequest request, Collection<UpstreamState> views, double fill, long nowNs) {
    boolean engine = isEngine.test(request.service());
    return placement.select(request, views, engine, fill, nowNs);
  }

  private void dispatch(ActiveRequest request, UpstreamState view, long nowNs) {
    view.recordSent();
    gate.recordSent(request, view);
    places.acquire(request);
    dispatchCount++;
    request.startAttempt(view, nowNs);
    due.schedule(request);
    out.accept(
        new ForwardAction.Dispatch(
            request.number(),
            request.attempts(),
            view.registration(),
            request.route(),
            request.customer(),
            request.remainingMs(nowNs),
            request.isCanary()));
  }
}
