package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.admission.ForecastStore;
import org.teaseltrail.core.admission.ReturnPlanner;
import org.teaseltrail.core.admission.ServiceForecast;
import org.teaseltrail.core.admission.WaitLimits;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.serving.Urgency;

/**
 * Applies the leader's forecasts of the waits for slots to the requests of this VM: which are
 * refused at once since they would get no slot in time, and when their callers may come back.
 *
 * <p>It decides only while the leader allocates the service's slots and its forecast is valid.
 */
final class ForecastAdmission {

  private static final long NS_PER_MS = 1_000_000L;

  /** Time over which a line is assumed to have formed at least: that between two forecasts. */
  private static final long MIN_LINE_AGE_NS = 100 * NS_PER_MS;

  private final ServiceFeature feature;
  private final SlotGrantTracker slots;
  private final ForecastStore forecasts = new ForecastStore();
  private final ReturnPlanner returns = new ReturnPlanner();

  ForecastAdmission(ServiceFeature feature, SlotGrantTracker slots) {
    this.feature = feature;
    this.slots = slots;
  }

  /** Takes in a forecast; returns whether it applies. */
  boolean update(ServingReply.WaitForecast forecast, long nowNs) {
    boolean isApplied = feature.appliesTo(forecast.service());
    if (isApplied) {
      forecasts.update(forecast, nowNs);
    }
    return isApplied;
  }

  /** Drops the forecasts of the leader before. */
  void onNewLeadership() {
    forecasts.clear();
  }

  /** Returns whether a valid forecast lists waits, so that it limits the queue. */
  boolean decides(ServiceId service, long nowNs) {
    return find(service, nowNs).filter(forecast -> !forecast.isEmpty()).isPresent();
  }

  /**
   * Returns the expected wait of a request that isn't queued yet, if it is too long for it to be
   * queued.
   */
  OptionalLong findExcessiveWait(ActiveRequest request, long nowNs) {
    Optional<ServiceForecast> forecast = find(request.service(), nowNs);
    // One that an upstream turned away is ahead of those that the forecast counts.
    boolean isQueuedAgain = request.attempts() > 0;
    if (forecast.isEmpty() || isQueuedAgain || mustBeQueued(request)) {
      return OptionalLong.empty();
    }
    long waitMs = forecast.get().waitMs(request.urgency(), request.customer(), nowNs);
    long lateMs = forecast.get().waitMs(request.lateUrgency(), request.customer(), nowNs);
    return limits(request, nowNs).admit(waitMs, lateMs)
        ? OptionalLong.empty()
        : OptionalLong.of(waitMs);
  }

  /** Returns the expected wait of a request like the given one that begins to wait now. */
  long waitMs(ActiveRequest request, long nowNs) {
    return find(request.service(), nowNs)
        .map(forecast -> forecast.waitMs(request.urgency(), request.customer()))
        .orElse(0L);
  }

  /** Returns the queued requests that will get no slot in time, least urgent and newest first. */
  List<ActiveRequest> findHopeless(ServiceId service, RequestQueue waiting, long nowNs) {
    Optional<ServiceForecast> forecast = find(service, nowNs);
    List<ActiveRequest> hopeless = new ArrayList<>();
    if (forecast.isPresent()) {
      List<ActiveRequest> queued = waiting.all();
      Map<Urgency, Long> longestWaitsNs = longestWaitsNs(queued, nowNs);
      for (int i = queued.size() - 1; i >= 0; i--) {
        ActiveRequest request = queued.get(i);
        long longestNs = longestWaitsNs.get(request.urgency());
        if (!mustBeQueued(request) && !keeps(request, forecast.get(), longestNs, nowNs)) {
          hopeless.add(request);
        }
      }
    }
    return hopeless;
  }

  /**
   * Returns whether a queued request can still be served. Of the wait that a newcomer of its
   * urgency expects, it has a part ahead that is the smaller the longer it has waited.
   */
  private static boolean keeps(
      ActiveRequest request, ServiceForecast forecast, long longestNs, long nowNs) {
    long lateMs = forecast.waitMs(request.lateUrgency(), request.customer());
    if (request.isLate()) {
      long lateForMs = (nowNs - request.onTimeDeadlineNs()) / NS_PER_MS;
      return limits(request, nowNs).keep(0, Math.max(0, lateMs - lateForMs));
    }
    long waitMs = forecast.waitMs(request.urgency(), request.customer());
    double aheadFraction = 1 - (double) (nowNs - request.arrivedNs()) / longestNs;
    return limits(request, nowNs).keep((long) (aheadFraction * waitMs), lateMs);
  }

  /** Returns the longest wait of each urgency, at least the time between two forecasts. */
  private static Map<Urgency, Long> longestWaitsNs(List<ActiveRequest> queued, long nowNs) {
    Map<Urgency, Long> longestNs = new HashMap<>();
    queued.forEach(
        request -> longestNs.merge(request.urgency(), nowNs - request.arrivedNs(), Math::max));
    longestNs.replaceAll((urgency, waitedNs) -> Math.max(MIN_LINE_AGE_NS, waitedNs));
    return longestNs;
  }

  /**
   * Plans the return of a caller whose request is refused; empty if there is no valid forecast, or
   * if it expects no wait.
   *
   * @return the Retry-After, in milliseconds
   */
  OptionalLong planReturn(ActiveRequest request, long nowNs) {
    Optional<ServiceForecast> forecast = find(request.service(), nowNs);
    if (forecast.isEmpty()) {
      return OptionalLong.empty();
    }
    Urgency newcomer = request.onTimeUrgency();
    long waitMs = forecast.get().waitMs(newcomer, request.customer(), nowNs);
    if (waitMs == 0) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(
        returns.plan(
            new ReturnPlanner.Line(request.service(), newcomer, request.customer()),
            waitMs,
            forecast.get().perRequestMs(newcomer, request.customer()),
            request.remainingMs(nowNs),
            nowNs));
  }

  private Optional<ServiceForecast> find(ServiceId service, long nowNs) {
    return slots.isLeaderAllocated(service, nowNs)
        ? forecasts.find(service, nowNs)
        : Optional.empty();
  }

  /** Returns whether a request may not be refused because of a forecast. */
  private static boolean mustBeQueued(ActiveRequest request) {
    return request.maybeRan() || request.isTrial();
  }

  private static WaitLimits limits(ActiveRequest request, long nowNs) {
    long onTimeMs = (request.onTimeDeadlineNs() - nowNs) / NS_PER_MS;
    return new WaitLimits(
        request.isLate() ? 0 : onTimeMs, (request.queueDeadlineNs() - nowNs) / NS_PER_MS);
  }
}
