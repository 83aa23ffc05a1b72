package org.teaseltrail.core.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.plan.PlanCustomer;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.serving.Urgency;

/** Is a request that this VM has admitted and not answered yet. */
final class ActiveRequest {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Part of the objective after which a waiting request counts as late: the users' prompts take
   * some 50 to 150 ms to their first token, a fifth of their shortest objectives.
   */
  private static final double OBJECTIVE_PART_FOR_WAITING = 0.8;

  /**
   * Part of a caller's patience that a request may wait for a place; the rest is for the answer.
   */
  private static final double WAIT_PART = 0.6;

  private static final double NS_PER_S = 1e9;

  /** Rank of requests without a customer: behind all that pay. */
  private static final int NO_CUSTOMER_RANK = 1_000;

  private final ForwardRequest request;
  private final PlanRoute route;
  private final ServiceId service;
  private final Optional<PlanCustomer> customer;
  private final long arrivedNs;
  private final Set<UpstreamId> tried = new HashSet<>();
  private Optional<UpstreamState> currentUpstream = Optional.empty();
  private int attempts;
  private int sends;
  private long sentNs;
  private boolean maybeRan;
  private boolean begun;
  private boolean unread;
  private boolean late;
  private boolean trial;
  private boolean canary;
  private boolean reached;
  private QuotaReservation quota = QuotaReservation.NONE;
  private Optional<Fingerprint> fingerprint = Optional.empty();

  ActiveRequest(
      ForwardRequest request,
      PlanRoute route,
      ServiceId service,
      Optional<PlanCustomer> customer,
      long arrivedNs) {
    this.request = request;
    this.route = route;
    this.service = service;
    this.customer = customer;
    this.arrivedNs = arrivedNs;
  }

  ForwardRequest request() {
    return request;
  }

  long number() {
    return request.number();
  }

  PlanRoute route() {
    return route;
  }

  ServiceId service() {
    return service;
  }

  Optional<CustomerId> customer() {
    return customer.map(PlanCustomer::id);
  }

  /** Notes that it is held and may go to one upstream all the same. */
  void markTrial() {
    trial = true;
  }

  boolean isTrial() {
    return trial;
  }

  int scope() {
    return request.scope(customer());
  }

  /** Returns its fingerprint, made from its whole content at the first call. */
  Fingerprint fingerprint() {
    if (fingerprint.isEmpty()) {
      fingerprint = Optional.of(request.fingerprint(customer()));
    }
    return fingerprint.get();
  }

  /** Returns the customer whose quota it counts against. */
  Optional<PlanCustomer> quotaCustomer() {
    return customer;
  }

  /** Takes what it holds of its customer's quota. */
  void setQuotaReservation(QuotaReservation held) {
    quota = held;
  }

  /** Notes that it has got its final answer or needs none. */
  void close() {
    quota.close();
  }

  Urgency urgency() {
    return new Urgency(customerRank(), late, route.priority());
  }

  /** Returns the customer's rank, which goes before the route's. */
  private int customerRank() {
    return customer.map(known -> known.rank().orElse(NO_CUSTOMER_RANK)).orElse(NO_CUSTOMER_RANK);
  }

  long arrivedNs() {
    return arrivedNs;
  }

  /** Returns when the final answer is due: by the route or by the caller, whichever is sooner. */
  long dueNs() {
    long allowedMs = Math.min(route.timeoutMs(), request.deadlineMs().orElse(Long.MAX_VALUE));
    return arrivedNs + allowedMs * NS_PER_MS;
  }

  /** Returns until when an answer, or a stream's first event, still finds the caller there. */
  long callerWaitsUntilNs() {
    return begun ? dueNs() : Math.min(dueNs(), arrivedNs + route.callerTimeoutMs() * NS_PER_MS);
  }

  /** Returns until when it waits for a place. */
  long queueDeadlineNs() {
    return arrivedNs + (long) ((callerWaitsUntilNs() - arrivedNs) * WAIT_PART);
  }

  /** Returns when its time is over as things stand: that for a place, or that for the answer. */
  long nextDeadlineNs() {
    return currentUpstream.isPresent() || begun ? dueNs() : queueDeadlineNs();
  }

  /** Returns how long it waits for a place at most, in seconds. */
  double maxQueueWaitS() {
    return (queueDeadlineNs() - arrivedNs) / NS_PER_S;
  }

  long remainingMs(long nowNs) {
    return Math.max(1, (dueNs() - nowNs) / NS_PER_MS);
  }

  void startAttempt(UpstreamState view, long nowNs) {
    currentUpstream = Optional.of(view);
    unread = true;
    reached = false;
    attempts++;
    sends++;
    sentNs = nowNs;
    tried.add(view.registration().id());
    quota.commit(nowNs);
  }

  /** Notes that it goes to an ordered version that is still a canary. */
  void markCanary() {
    canary = true;
  }

  /** Tells whether its attempt was sent to an ordered version that was still a canary. */
  boolean isCanary() {
    return canary;
  }

  /** Notes that its attempt has reached an upstream; returns whether that is news. */
  boolean markReached() {
    boolean news = !reached;
    reached = true;
    return news;
  }

  boolean hasReached() {
    return reached;
  }

  Optional<UpstreamState> currentUpstream() {
    return currentUpstream;
  }

  long sentNs() {
    return sentNs;
  }

  /** Notes that the attempt has ended. */
  void endAttempt(AttemptOutcome end) {
    markPromptRead();
    currentUpstream = Optional.empty();
    canary = false;
    maybeRan |= end.maybeRan();
    if (!maybeRan) {
      quota.notRun();
    }
    if (!end.reachedUpstream()) {
      sends--;
    }
  }

  /** Returns all attempts, those that reached nobody among them. */
  int attempts() {
    return attempts;
  }

  /** Returns how many upstreams the request was sent to. */
  int sends() {
    return sends;
  }

  /** Tells whether it may still be sent elsewhere if the next upstream turns it away. */
  boolean canTryAnotherUpstream() {
    return sends + 1 < route.maxAttempts();
  }

  boolean hasTried(UpstreamId upstream) {
    return tried.contains(upstream);
  }

  boolean maybeRan() {
    return maybeRan;
  }

  boolean isBecomingLate(long nowNs) {
    return !late && nowNs > onTimeUntilNs();
  }

  private long onTimeUntilNs() {
    return arrivedNs + (long) (route.objectiveMs() * NS_PER_MS * OBJECTIVE_PART_FOR_WAITING);
  }

  void markLate() {
    late = true;
  }

  /** Notes that the caller has got a part of the answer. */
  void markResponseStarted() {
    begun = true;
    markPromptRead();
  }

  /** Notes that its upstream has read the prompt, or needn't read it any more. */
  void markPromptRead() {
    if (unread) {
      currentUpstream.ifPresent(UpstreamState::recordPromptRead);
    }
    unread = false;
  }

  boolean hasResponseStarted() {
    return begun;
  }
}
