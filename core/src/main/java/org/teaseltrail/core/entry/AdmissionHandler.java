package org.teaseltrail.core.entry;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.configuration.Customer;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.configuration.RouteTarget.ServiceTarget;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;
import org.teaseltrail.core.message.Claim;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.RequestKind;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.request.NotRunReason;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.request.PrefixBlockHasher;
import org.teaseltrail.core.request.Request;
import org.teaseltrail.core.request.TokenEstimator;

/**
 * Admits or rejects arriving requests: authenticates the customer, resolves the route, and offers
 * an admitted request to its pool's scheduler.
 */
final class AdmissionHandler {

  /** Retry-After of a request that is rejected for lack of a valid session: two hello intervals. */
  static final long RETRY_AFTER_MS = 1_000;

  private final EntryComponents parts;
  private final DrainCoordinator drain;

  AdmissionHandler(EntryComponents parts, DrainCoordinator drain) {
    this.parts = parts;
    this.drain = drain;
  }

  void arrive(RequestId id, CallerCall call, long nowNs) {
    Optional<NotRunReason> closed = rejectionReason(nowNs);
    if (closed.isPresent()) {
      refuse(id, closed.get(), RETRY_AFTER_MS);
      return;
    }
    Optional<Customer> customer = parts.configuration.customer(call.keyHash());
    if (customer.isEmpty()) {
      refuse(id, NotRunReason.UNAUTHENTICATED, 0);
      return;
    }
    Optional<Route> route = parts.configuration.route(call.target());
    if (route.isEmpty()) {
      refuse(id, unknownTarget(call.target()), 0);
      return;
    }
    boolean nonIdempotent = isNonIdempotent(call, route.get());
    if (nonIdempotent && call.idempotencyKey().isEmpty()) {
      refuse(id, NotRunReason.KEY_REQUIRED, 0);
      return;
    }
    CallContent content = new CallContent(customer.get().id(), route.get().id(), call.bodyDigest());
    Optional<Long> quarantined = parts.quarantine.retryAfterMs(content, nowNs);
    if (quarantined.isPresent()) {
      refuse(id, NotRunReason.QUARANTINED, quarantined.get());
      return;
    }
    parts.quarantine.recordAdmitted(id, content);
    admit(ticket(id, call, customer.get(), route.get(), nonIdempotent), call, route.get(), nowNs);
  }

  /** Returns the reason for which the VM currently rejects all requests, if there is one. */
  Optional<NotRunReason> rejectionReason(long nowNs) {
    if (drain.isListenerClosed()) {
      return Optional.of(NotRunReason.DRAINING);
    }
    if (!parts.session.isValid(nowNs)) {
      return Optional.of(NotRunReason.NOT_ADMITTING);
    }
    return parts.requests.size() < parts.settings.maxRequests()
        ? Optional.empty()
        : Optional.of(NotRunReason.VM_FULL);
  }

  private static NotRunReason unknownTarget(CallTarget target) {
    return target instanceof CallTarget.Generation
        ? NotRunReason.UNKNOWN_MODEL
        : NotRunReason.UNKNOWN_SERVICE;
  }

  private static boolean isNonIdempotent(CallerCall call, Route route) {
    return !call.idempotent()
        || call.target() instanceof CallTarget.ServiceCall asked
            && route.target() instanceof ServiceTarget service
            && service.nonIdempotentMethods().contains(asked.method());
  }

  private Ticket ticket(
      RequestId id, CallerCall call, Customer customer, Route route, boolean nonIdempotent) {
    Optional<Claim> claim =
        call.idempotencyKey().map(key -> new Claim(key, call.bodyDigest(), nonIdempotent));
    int promptTokens = 1;
    int outputTokens = 1;
    List<Long> blocks = List.of();
    RequestKind kind = RequestKind.SERVICE_CALL;
    if (call.target() instanceof CallTarget.Generation generation) {
      kind = RequestKind.GENERATION;
      promptTokens = TokenEstimator.estimateTokens(generation.promptUtf8().length);
      outputTokens =
          parts.estimator.estimateTokens(customer.id(), route.id(), generation.maxTokens());
      blocks = PrefixBlockHasher.hashBlocks((ModelTarget) route.target(), generation.promptUtf8());
    }
    return new Ticket(
        id,
        customer.id(),
        customer.tier(),
        route.id(),
        route.pool(),
        kind,
        promptTokens,
        outputTokens,
        blocks,
        0,
        call.deadlineMs(),
        claim);
  }

  private void admit(Ticket ticket, CallerCall call, Route route, long nowNs) {
    Invariant.check(parts.session.isValid(nowNs), InvariantName.ADMITTED_ONLY_IN_SESSION);
    long firstSequence = call.lastSequence().map(last -> last + 1).orElse(0L);
    Request request = new Request(ticket, route.target(), nowNs, firstSequence);
    parts.requests.add(request);
    if (request.deadlineNs() != 0) {
      parts.timers.add(TimerQueue.deadline(request.deadlineNs(), request.id()));
    }
    request.markOffered();
    parts.session.sendToLeader(new EntryMessage.Offer(request.ticketAt(nowNs)));
    parts.actions.log(
        EntryDecisionKind.ADMIT,
        request,
        "route=" + ticket.route() + " pool=" + ticket.pool() + " tokens=" + ticket.promptTokens());
  }

  private void refuse(RequestId id, NotRunReason reason, long retryAfterMs) {
    parts.actions.add(new EntryAction.Conclude(id, new Outcome.NotRun(reason, retryAfterMs)));
    parts.actions.add(
        new EntryAction.Log(
            new EntryDecision(
                EntryDecisionKind.REFUSE,
                Optional.of(id),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                "reason=" + reason.problemName())));
  }
}
