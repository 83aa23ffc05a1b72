package org.teaseltrail.core.forward;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.suspect.QuarantineTracker;

/**
 * Decides which requests may be retried at another upstream: the route must allow it, an upstream
 * must be left, and the retry budget that all VMs share must not be exhausted.
 */
final class RetryPolicy {

  /** Maximum number of attempts, including those that reached no upstream. */
  private static final int MAX_ATTEMPTS = 5;

  private final ForwardSettings settings;
  private final LoadBalancingPolicy placement;
  private final VersionRouter versionRouter;
  private final QuarantineTracker quarantine;
  private final Map<ServiceId, RetryBudget> budgets = new HashMap<>();
  private int vmCount = 1;

  RetryPolicy(
      ForwardSettings settings,
      LoadBalancingPolicy placement,
      VersionRouter versionRouter,
      QuarantineTracker quarantine) {
    this.settings = settings;
    this.placement = placement;
    this.versionRouter = versionRouter;
    this.quarantine = quarantine;
  }

  /** Sets the number of VMs that share the budgets. */
  void vmCount(int count) {
    vmCount = Math.max(1, count);
  }

  /** Counts an admitted request, which adds to the budget. */
  void recordRequest(ServiceId service, long nowNs) {
    budget(service).request(nowNs);
  }

  /** Returns whether a request whose attempt has ended may be retried, and counts the retry. */
  boolean tryAcquire(ActiveRequest request, AttemptOutcome end, long nowNs) {
    boolean canRetry = !end.maybeRan() || request.route().canRetry();
    boolean attemptsLeft =
        request.sends() < request.route().maxAttempts() && request.attempts() < MAX_ATTEMPTS;
    boolean timeLeft = nowNs < request.callerWaitsUntilNs();
    boolean elsewhere = hasCandidate(request);
    boolean held = request.isTrial() || quarantine.isQuarantined(request, nowNs);
    if (!canRetry || !attemptsLeft || !timeLeft || !elsewhere || held) {
      return false;
    }
    return !end.wasSent() || tryAcquireRetry(request.service(), nowNs);
  }

  /** Returns whether an upstream is left that has not received the request. */
  boolean hasCandidate(ActiveRequest request) {
    return placement.hasCandidate(request, versionRouter.routableUpstreams(request.service()));
  }

  /** Counts a retry that another VM will carry out; returns whether the budget allows it. */
  boolean tryAcquireRetry(ServiceId service, long nowNs) {
    return budget(service).tryAcquire(settings.retrySlack() / vmCount, nowNs);
  }

  private RetryBudget budget(ServiceId service) {
    return budgets.computeIfAbsent(
        service, key -> new RetryBudget(settings.retryWindowMs(), settings.retryRatio()));
  }
}
