package org.teaseltrail.core.forward;

import java.util.OptionalLong;
import java.util.function.Consumer;
import org.teaseltrail.core.plan.PlanCustomer;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Admits requests according to their customers' quotas, and requests more allowance from the leader
 * where a request is within the quota but exceeds this VM's allowance.
 */
final class QuotaAdmissionFilter {

  private final LocalQuotaTracker quotas;
  private final RequestCoordinator requests;
  private final ControlClient controlClient;
  private final Consumer<ForwardAction> actions;
  private final QuotaWaitQueue waitQueue = new QuotaWaitQueue();
  private final ServiceFeature refusesAtOnce;

  QuotaAdmissionFilter(
      LocalQuotaTracker quotas,
      RequestCoordinator requests,
      ControlClient controlClient,
      ServiceFeature refusesAtOnce,
      Consumer<ForwardAction> actions) {
    this.refusesAtOnce = refusesAtOnce;
    this.quotas = quotas;
    this.requests = requests;
    this.controlClient = controlClient;
    this.actions = actions;
  }

  /** Handles a request that the plan allows. */
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

  /** Applies the quota grants in a confirmation, and decides about the waiting requests again. */
  void onConfirmed(ServingReply.Confirmed confirmed, long nowNs) {
    quotas.applyGrants(confirmed, nowNs);
    for (ActiveRequest waiting : waitQueue.drain()) {
      if (!requests.refuseIfQuarantined(waiting, nowNs)) {
        decideAnswered(waiting, confirmed.sequence(), nowNs);
      }
    }
    waitQueue.dropAnswered();
  }

  /** Records that a sync reports what the waiting requests need. */
  void recordSync(long sequence) {
    waitQueue.recordSync(sequence);
  }

  void onCallerDisconnected(long number) {
    waitQueue.remove(number);
  }

  /** Refuses requests that have waited for the leader for their maximum time. */
  void tick(long nowNs) {
    waitQueue.pollExpired(nowNs).forEach(expired -> refuse(expired, nowNs));
  }

  /** Gives up all requests that wait for the leader, because this VM stops. */
  void giveUp() {
    for (ActiveRequest waiting : waitQueue.drain()) {
      RefusalReason reason = waiting.maybeRan() ? RefusalReason.GIVEN_UP : RefusalReason.ENDING;
      long retryAfterMs = waiting.maybeRan() ? 0 : DrainSchedule.RETRY_AFTER_MS;
      actions.accept(
          ForwardAction.Refuse.of(waiting, reason, retryAfterMs)
              .at(RequestStage.WAITING_FOR_QUOTA));
    }
    waitQueue.dropAnswered();
  }

  OptionalLong nextDueNs() {
    return waitQueue.nextDueNs();
  }

  /** Returns the number of requests that wait for the leader. */
  int waiting() {
    return waitQueue.size();
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
      case NEEDS_ALLOWANCE -> requestAllowance(request, customer, nowNs);
      case OVER -> refuse(request, nowNs);
      default -> throw new IllegalStateException("unhandled quota verdict");
    }
  }

  /**
   * Decides about a request that has waited for the leader's answer. If the answer to a sync that
   * reported the request says that the quota is exhausted for longer than the request may wait, it
   * is refused at once: the customer asks for more than its quota's rate at all VMs, so waiting on
   * only delays the refusal.
   */
  private void decideAnswered(ActiveRequest request, long answeredSync, long nowNs) {
    PlanCustomer customer = request.quotaCustomer().orElseThrow();
    boolean isShort =
        quotas.verdict(customer, request.request(), nowNs) == QuotaVerdict.NEEDS_ALLOWANCE;
    boolean isExhausted =
        waitQueue.isCoveredBy(answeredSync, request)
            && quotas.exhaustedForMs(customer) > QuotaWaitQueue.remainingMs(request, nowNs);
    if (isShort && isExhausted && refusesAtOnce.appliesTo(request.service())) {
      refuse(request, nowNs);
    } else {
      decide(request, nowNs);
    }
  }

  private void requestAllowance(ActiveRequest request, PlanCustomer customer, long nowNs) {
    if (QuotaWaitQueue.isExpired(request, nowNs)) {
      refuse(request, nowNs);
      return;
    }
    quotas.recordShortage(customer, request.request());
    waitQueue.add(request);
    controlClient.syncSoon();
  }

  private void refuse(ActiveRequest request, long nowNs) {
    PlanCustomer customer = request.quotaCustomer().orElseThrow();
    long untilFreeMs = quotas.retryAfterMs(customer, request.request(), nowNs);
    long exhaustedMs =
        refusesAtOnce.appliesTo(request.service()) ? quotas.exhaustedForMs(customer) : 0;
    long retryAfterMs = Math.max(untilFreeMs, exhaustedMs);
    actions.accept(ForwardAction.Refuse.of(request, RefusalReason.OVER_QUOTA, retryAfterMs));
  }
}
