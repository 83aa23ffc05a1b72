package org.teaseltrail.core.forward;

import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.serving.ServingMessage;

/** Is something that a forwarding entry VM wants done, in the order given. */
public sealed interface ForwardAction {

  /**
   * Send a request to an upstream.
   *
   * @param request the request's number
   * @param attempt counts the request's attempts, from 1
   * @param upstream the upstream
   * @param route its route
   * @param customer whose key it carries
   * @param remainingMs time that the upstream may take, in milliseconds
   * @param canary whether it goes to an ordered version that is still a canary
   */
  record Dispatch(
      long request,
      int attempt,
      Registration upstream,
      PlanRoute route,
      Optional<CustomerId> customer,
      long remainingMs,
      boolean canary)
      implements ForwardAction {}

  /**
   * Break an attempt off, so that its upstream stops work on it.
   *
   * @param request the request's number
   */
  record Cancel(long request) implements ForwardAction {}

  /**
   * Give the caller the answer of the attempt that has just ended.
   *
   * @param request the request's number
   */
  record Deliver(long request) implements ForwardAction {}

  /**
   * Tell the caller that there is no answer. A stream that has begun is broken off instead.
   *
   * @param request the request's number
   * @param refusalReason why
   * @param retryAfterMs when the caller may come back, in milliseconds; 0 if no time can be told
   * @param route its route, if one was found
   * @param customer whose key it carries, if that is known
   */
  record Refuse(
      long request,
      RefusalReason refusalReason,
      long retryAfterMs,
      Optional<PlanRoute> route,
      Optional<CustomerId> customer)
      implements ForwardAction {

    /** Refuses a request that was not judged by the plan. */
    static Refuse beforeRouting(long request, RefusalReason refusal, long retryAfterMs) {
      return new Refuse(request, refusal, retryAfterMs, Optional.empty(), Optional.empty());
    }

    /** Refuses a request that the plan allows. */
    static Refuse of(ActiveRequest request, RefusalReason refusal, long retryAfterMs) {
      return new Refuse(
          request.number(),
          refusal,
          retryAfterMs,
          Optional.of(request.route()),
          request.customer());
    }
  }

  /**
   * Send a message to a control member.
   *
   * @param member the member's VM
   * @param message the message
   */
  record SendControl(VmId member, ServingMessage message) implements ForwardAction {}

  /**
   * Hold connections to these control members.
   *
   * @param members their VMs
   */
  record ConnectToMembers(java.util.List<VmId> members) implements ForwardAction {}
}
