package org.teaseltrail.core.forward;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrail.core.id.ServiceId;

/**
 * Says which requests may be tried again at another upstream: where their route allows it, some
 * upstream is left, and the budget of repeats that all VMs share has room.
 */
final class Repeats {

  /** Attempts at most, those that reached nobody among them. */
  private static final int MAX_ATTEMPTS = 5;

  private final ForwardSettings settings;
  private final PlacementRule placement;
  private final VersionGate gate;
  private final Quarantine quarantine;
  private final Map<ServiceId, RetryBudget> budgets = new HashMap<>();
  private int vmCount = 1;

  Repeats(
      ForwardSettings settings, PlacementRule placement, VersionGate gate, Quarantine quarantine) {
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
  void requested(ServiceId service, long nowNs) {
    budget(service).request(nowNs);
  }

  /** Tells whether a request whose attempt has ended may be tried again, and counts that. */
  boolean take(TrackedForward request, AttemptEnd end, long nowNs) {
    boolean mayRepeat = !end.maybeRan() || request.route().canRetry();
    boolean attemptsLeft =
        request.sends() < request.route().maxAttempts() && request.attempts() < MAX_ATTEMPTS;
    boolean timeLeft = nowNs < request.patientUntilNs();
    boolean elsewhere = placement.hasUsable(request, gate.open(request.service()));
    boolean held = request.isTrial() || quarantine.stops(request, nowNs);
    if (!mayRepeat || !attemptsLeft || !timeLeft || !elsewhere || held) {
      return false;
    }
    double ownSlack = settings.retrySlack() / vmCount;
    return !end.wasSent() || budget(request.service()).take(ownSlack, nowNs);
  }

  private RetryBudget budget(ServiceId service) {
    return budgets.computeIfAbsent(
        service, key -> new RetryBudget(settings.retryWindowMs(), settings.retryRatio()));
  }
}
