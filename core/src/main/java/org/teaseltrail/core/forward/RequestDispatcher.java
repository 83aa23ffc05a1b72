package org.teaseltrail.core.forward;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.serving.SlotUsage;

/**
 * Dispatches requests to upstreams with free capacity, and counts the slots that they use there.
 */
final class RequestDispatcher {

  /** Utilization of an engine's slots from which on requests are queued here. */
  private static final double ENGINE_MAX_UTILIZATION = 1.0;

  /** The same for requests that exceed their customer's quota within the tolerance. */
  private static final double SPARE_CAPACITY_MAX_UTILIZATION = 0.6;

  private final LoadBalancingPolicy placement;
  private final ConditionEstimator conditions;
  private final VersionRouter versionRouter;
  private final Predicate<ServiceId> isEngine;
  private final DeadlineQueue deadlines;
  private final Consumer<ForwardAction> actions;
  private final SlotUsageCounter places;
  private final UpstreamPaths paths;
  private long dispatchCount;

  RequestDispatcher(
      LoadBalancingPolicy placement,
      ConditionEstimator conditions,
      VersionRouter versionRouter,
      Predicate<ServiceId> isEngine,
      DeadlineQueue deadlines,
      SlotUsageCounter places,
      UpstreamPaths paths,
      Consumer<ForwardAction> actions) {
    this.placement = placement;
    this.conditions = conditions;
    this.versionRouter = versionRouter;
    this.isEngine = isEngine;
    this.deadlines = deadlines;
    this.places = places;
    this.paths = paths;
    this.actions = actions;
  }

  /** Dispatches a request if there is capacity for it; returns whether it was dispatched. */
  boolean tryDispatch(ActiveRequest request, long nowNs) {
    return tryDispatchAmong(request, versionRouter.routableUpstreams(request.service()), nowNs);
  }

  /** Like {@link #tryDispatch}, limited to the given upstreams. */
  boolean tryDispatchAmong(ActiveRequest request, Collection<UpstreamState> upstreams, long nowNs) {
    return dispatchIfCapacity(request, upstreams, ENGINE_MAX_UTILIZATION, nowNs);
  }

  /**
   * Like {@link #tryDispatch}, for a request that exceeds its customer's quota within the tolerance
   * and may use spare capacity only.
   */
  boolean tryDispatchToSpareCapacity(ActiveRequest request, long nowNs) {
    return dispatchIfCapacity(
        request,
        versionRouter.routableUpstreams(request.service()),
        SPARE_CAPACITY_MAX_UTILIZATION,
        nowNs);
  }

  /**
   * Dispatches a request to the target version of a rollout if the leader's canary allowance covers
   * it. A retry never goes there, as its caller has already waited through one attempt.
   */
  boolean tryDispatchAsCanary(ActiveRequest request, long nowNs) {
    if (request.attempts() > 0) {
      return false;
    }
    List<UpstreamState> targets = versionRouter.canaryUpstreams(request.service(), nowNs);
    if (targets.isEmpty()) {
      return false;
    }
    Optional<UpstreamState> selected =
        placement.selectIgnoringAllocation(
            request, targets, isEngine.test(request.service()), ENGINE_MAX_UTILIZATION, nowNs);
    selected.ifPresent(
        upstream -> {
          request.markCanary();
          dispatch(request, upstream, nowNs);
        });
    return selected.isPresent();
  }

  /**
   * Dispatches a request whose stream has begun if any upstream that can continue it has capacity;
   * returns whether it was dispatched. It isn't bound to the slots allocated to this VM: these are
   * allocated for requests that any upstream can serve, and seldom where the stream can go on.
   */
  boolean tryDispatchBegun(ActiveRequest request, long nowNs) {
    if (request.origin().isEmpty()) {
      return false;
    }
    Optional<UpstreamState> selected =
        placement.selectIgnoringAllocation(
            request,
            versionRouter.routableUpstreams(request.service()),
            isEngine.test(request.service()),
            ENGINE_MAX_UTILIZATION,
            nowNs);
    selected.ifPresent(upstream -> dispatch(request, upstream, nowNs));
    return selected.isPresent();
  }

  /**
   * Dispatches a request to the upstream for which the leader granted a slot, if the request may go
   * there.
   */
  boolean tryDispatchTo(ActiveRequest request, UpstreamState upstream, long nowNs) {
    boolean accepted =
        placement.canDispatchTo(
            request, versionRouter.routableUpstreams(request.service()), upstream, nowNs);
    if (accepted) {
      dispatch(request, upstream, nowNs);
    }
    return accepted;
  }

  /** Records that a request no longer uses its slot. */
  void releaseSlot(ActiveRequest request) {
    places.release(request);
  }

  /** Returns the slots in use for each kind of request. */
  List<SlotUsage> held() {
    return places.snapshot();
  }

  /** Returns the total number of dispatches. */
  long dispatchCount() {
    return dispatchCount;
  }

  private boolean dispatchIfCapacity(
      ActiveRequest request,
      Collection<UpstreamState> upstreams,
      double maxUtilization,
      long nowNs) {
    Optional<UpstreamState> selected = select(request, upstreams, maxUtilization, nowNs);
    selected.ifPresent(upstream -> dispatch(request, upstream, nowNs));
    return selected.isPresent();
  }

  private Optional<UpstreamState> select(
      ActiveRequest request,
      Collection<UpstreamState> upstreams,
      double maxUtilization,
      long nowNs) {
    boolean engine = isEngine.test(request.service());
    return placement.select(request, upstreams, engine, maxUtilization, nowNs);
  }

  private void dispatch(ActiveRequest request, UpstreamState upstream, long nowNs) {
    conditions.recordDispatch(request, upstream, nowNs);
    paths.onDispatch(upstream, nowNs);
    upstream.recordSent();
    versionRouter.recordSent(request, upstream);
    places.acquire(request);
    dispatchCount++;
    request.startAttempt(upstream, nowNs);
    deadlines.schedule(request);
    actions.accept(
        new ForwardAction.Dispatch(
            request.number(),
            request.attempts(),
            upstream.registration(),
            request.route(),
            request.customer(),
            request.remainingMs(nowNs),
            request.isCanary(),
            request.expectedFirstEventMs()));
  }
}
