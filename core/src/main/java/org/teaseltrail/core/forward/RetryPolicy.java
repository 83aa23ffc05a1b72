package org.teaseltrail.core.forward;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrail.core.id.ServiceId;

/**
 * Says which requests may be tried again at another upstream: where their route allows it, some
 * upstream is left, and the budget of repeats that all VMs share has room.
 */
final class RetryPolicy {

  /** Attempts at most, those that reached nobody among them. */
  private static final int MAX_ATTEMPTS = 5;

  private final ForwardSettings settings;
  private final LoadBalancingPolicy placement;
  private final VersionRouter gate;
  private final QuarantineTracker quarantine;
  private final Map<ServiceId, RetryBudget> budgets = new HashMap<>();
  private int vmCount = 1;

  RetryPolicy(
      ForwardSettings settings,
      LoadBalancingPolicy placement,
      VersionRouter gate,
      QuarantineTracker quarantine) {
    this.settings = settings;
    this.placement = placement;
    this.gate = gate;
    this.quarantine = quarantine;
  }

  /** Takes how many VMs share the budgets. */
  void vmCount(int count) {
    vmCount = Math.max(1, count);
  }

  /** Notes a request that is owed a place. */
  void recordRequest(ServiceId service, long nowNs) {
    budget(service).request(nowNs);
  }

  /** Tells whether a request whose attempt has ended may be tried again, and counts that. */
  boolean tryAcquire(ActiveRequest request, AttemptOutcome end, long nowNs) {
    boolean mayRepeat = !end.maybeRan() || request.route().canRetry();
    boolean attemptsLeft =
        request.sends() < request.route().maxAttempts() && request.attempts() < MAX_ATTEMPTS;
    boolean timeLeft = nowNs < request.callerWaitsUntilNs();
    boolean elsewhere = placement.hasCandidate(request, gate.routableUpstreams(request.service()));
    boolean held = request.isTrial() || quarantine.isQuarantined(request, nowNs);
    if (!mayRepeat || !attemptsLeft || !timeLeft || !elsewhere || held) {
      return false;
    }
    double ownSlack = settings.retrySlack() / vmCount;
    return !end.wasSent() || budget(request.service()).tryAcquire(ownSlack, nowNs);
  }

  private RetryBudget budget(ServiceId service) {
    return budgets.computeIfAbsent(
        service, key -> new RetryBudget(settings.retryWindowMs(), settings.retryRatio()));
  }
}
