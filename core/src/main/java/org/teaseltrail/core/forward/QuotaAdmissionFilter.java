package org.teaseltrail.core.forward;

import java.util.OptionalLong;
import java.util.function.Consumer;
import org.teaseltrail.core.plan.PlanCustomer;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Lets requests pass to the request desk as far as their customers' quotas allow, and asks the
 * leader for more where only this VM's allowance is too small.
 */
final class QuotaAdmissionFilter {

  private final LocalQuotaTracker quotas;
  private final RequestCoordinator requests;
  private final ControlClient ties;
  private final Consumer<ForwardAction> out;
  private final QuotaWaitQueue shortOfQuota = new QuotaWaitQueue();

  QuotaAdmissionFilter(
      LocalQuotaTracker quotas,
      RequestCoordinator requests,
      ControlClient ties,
      Consumer<ForwardAction> out) {
    this.quotas = quotas;
    this.requests = requests;
    this.ties = ties;
    this.out = out;
  }

  /** Takes a request that the plan allows. */
  void onRequest(ActiveRequest request, long nowNs) {
    if (requests.refuseIfQuarantined(request, nowNs)) {
      return;
    }
    if (request.quotaCustomer().isEmpty()) {
      requests.admit(request, nowNs);
      return;
    }
    quotas.asked(request.quotaCustomer().get(), request.request(), nowNs);
    decide(request, nowNs);
  }

  /** Takes what the leader tells, and looks again at what waits for it. */
  void onConfirmed(ServingReply.Confirmed confirmed, long nowNs) {
    quotas.applyGrants(confirmed, nowNs);
    for (ActiveRequest waiting : shortOfQuota.drain()) {
      if (!requests.refuseIfQuarantined(waiting, nowNs)) {
        decide(waiting, nowNs);
      }
    }
  }

  void onCallerDisconnected(long number) {
    shortOfQuota.remove(number);
  }

  /** Refuses what has waited long enough for the leader. */
  void tick(long nowNs) {
    shortOfQuota.pollExpired(nowNs).forEach(overdue -> refuse(overdue, nowNs));
  }

  OptionalLong nextDueNs() {
    return shortOfQuota.nextDueNs();
  }

  /** Returns how many requests wait for the leader. */
  int waiting() {
    return shortOfQuota.size();
  }

  private void decide(ActiveRequest request, long nowNs) {
    PlanCustomer customer = request.quotaCustomer().orElseThrow();
    switch (quotas.verdict(customer, request.request(), nowNs)) {
      case WITHIN -> {
        request.setQuotaReservation(quotas.reserve(customer, request.request()));
        requests.admit(request, nowNs);
      }
      case WITHIN_TOLERANCE -> {
        request.setQuotaReservation(quotas.reserve(customer, request.request()));
        if (!requests.admitToSpareCapacity(request, nowNs)) {
          refuse(request, nowNs);
        }
      }
      case NEEDS_ALLOWANCE -> askForMore(request, customer, nowNs);
      case OVER -> refuse(request, nowNs);
      default -> throw new IllegalStateException("a verdict without a rule");
    }
  }

  private void askForMore(ActiveRequest request, PlanCustomer customer, long nowNs) {
    if (QuotaWaitQueue.isExpired(request, nowNs)) {
      refuse(request, nowNs);
      return;
    }
    quotas.recordShortage(customer, request.request());
    shortOfQuota.add(request);
    ties.syncSoon();
  }

  private void refuse(ActiveRequest request, long nowNs) {
    long waitMs =
        quotas.retryAfterMs(request.quotaCustomer().orElseThrow(), request.request(), nowNs);
    out.accept(ForwardAction.Refuse.of(request, RefusalReason.OVER_QUOTA, waitMs));
  }
}
