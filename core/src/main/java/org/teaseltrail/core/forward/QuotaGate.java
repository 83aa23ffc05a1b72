package org.teaseltrail.core.forward;

import java.util.OptionalLong;
import java.util.function.Consumer;
import org.teaseltrail.core.plan.PlanCustomer;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Lets requests pass to the request desk as far as their customers' quotas allow, and asks the
 * leader for more where only this VM's allowance is too small.
 */
final class QuotaGate {

  private final QuotaDesk quotas;
  private final RequestDesk requests;
  private final ControlTies ties;
  private final Consumer<ForwardAction> out;
  private final ShortOfQuota shortOfQuota = new ShortOfQuota();

  QuotaGate(QuotaDesk quotas, RequestDesk requests, ControlTies ties, Consumer<ForwardAction> out) {
    this.quotas = quotas;
    this.requests = requests;
    this.ties = ties;
    this.out = out;
  }

  /** Takes a request that the plan allows. */
  void arrived(TrackedForward request, long nowNs) {
    if (requests.refuseHeld(request, nowNs)) {
      return;
    }
    if (request.payer().isEmpty()) {
      requests.admit(request, nowNs);
      return;
    }
    quotas.asked(request.payer().get(), request.request(), nowNs);
    decide(request, nowNs);
  }

  /** Takes what the leader tells, and looks again at what waits for it. */
  void told(ServingReply.Confirmed confirmed, long nowNs) {
    quotas.told(confirmed, nowNs);
    for (TrackedForward waiting : shortOfQuota.takeAll()) {
      if (!requests.refuseHeld(waiting, nowNs)) {
        decide(waiting, nowNs);
      }
    }
  }

  void callerLeft(long number) {
    shortOfQuota.remove(number);
  }

  /** Refuses what has waited long enough for the leader. */
  void tick(long nowNs) {
    shortOfQuota.takeOverdue(nowNs).forEach(overdue -> refuse(overdue, nowNs));
  }

  OptionalLong nextDueNs() {
    return shortOfQuota.nextDueNs();
  }

  /** Returns how many requests wait for the leader. */
  int waiting() {
    return shortOfQuota.size();
  }

  private void decide(TrackedForward request, long nowNs) {
    PlanCustomer customer = request.payer().orElseThrow();
    switch (quotas.verdict(customer, request.request(), nowNs)) {
      case WITHIN -> {
        request.holds(quotas.reserve(customer, request.request()));
        requests.admit(request, nowNs);
      }
      case TOLERATED -> {
        request.holds(quotas.reserve(customer, request.request()));
        if (!requests.admitToFreeRoom(request, nowNs)) {
          refuse(request, nowNs);
        }
      }
      case SHORT_HERE -> askForMore(request, customer, nowNs);
      case OVER -> refuse(request, nowNs);
      default -> throw new IllegalStateException("a verdict without a rule");
    }
  }

  private void askForMore(TrackedForward request, PlanCustomer customer, long nowNs) {
    if (ShortOfQuota.isOverdue(request, nowNs)) {
      refuse(request, nowNs);
      return;
    }
    quotas.want(customer, request.request());
    shortOfQuota.add(request);
    ties.syncSoon();
  }

  private void refuse(TrackedForward request, long nowNs) {
    long waitMs = quotas.waitMs(request.payer().orElseThrow(), request.request(), nowNs);
    out.accept(ForwardAction.Refuse.of(request, Refusal.OVER_QUOTA, waitMs));
  }
}
