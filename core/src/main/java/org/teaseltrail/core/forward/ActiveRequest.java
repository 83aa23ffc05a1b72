package org.teaseltrail.core.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.plan.PlanCustomer;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.quarantine.PartFeature;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.relay.RelayHop;
import org.teaseltrail.core.serving.Urgency;
import org.teaseltrail.core.stream.StreamOrigin;
import org.teaseltrail.core.suspect.QuarantineSubject;

/** A request that this VM has admitted and not answered yet. */
final class ActiveRequest extends QuarantineSubject {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Fraction of the latency objective after which a queued request counts as late. The rest is
   * reserved for prefill: prompts take 50 to 150 ms until the first token, a fifth of the shortest
   * objectives.
   */
  private static final double ON_TIME_OBJECTIVE_FRACTION = 0.8;

  /**
   * Fraction of the time that a caller waits which the request may spend in the queue; the rest is
   * for the response.
   */
  private static final double QUEUE_TIME_FRACTION = 0.6;

  private static final double NS_PER_S = 1e9;

  /** Rank of requests without a customer: behind those of all paying customers. */
  private static final int NO_CUSTOMER_RANK = 1_000;

  private final ForwardRequest request;
  private final PlanRoute route;
  private final ServiceId service;
  private final Optional<PlanCustomer> customer;
  private final long arrivedNs;
  private final Optional<RelayHop> hop;
  private final Set<UpstreamId> tried = new HashSet<>();
  private Optional<List<PartFeature>> parts = Optional.empty();
  private Optional<UpstreamState> currentUpstream = Optional.empty();
  private Optional<StreamOrigin> attemptOrigin = Optional.empty();
  private Optional<StreamOrigin> origin = Optional.empty();
  private int attempts;
  private int sends;
  private int failedConnections;
  private boolean mayRelay = true;
  private long sentNs;
  private boolean maybeRan;
  private boolean responseStarted;
  private boolean unread;
  private boolean late;
  private boolean canary;
  private boolean reached;
  private QuotaReservation quotaReservation = QuotaReservation.NONE;
  private OptionalDouble expectedFirstEventMs = OptionalDouble.empty();

  ActiveRequest(
      ForwardRequest request,
      PlanRoute route,
      ServiceId service,
      Optional<PlanCustomer> customer,
      long arrivedNs) {
    this(request, route, service, customer, Optional.empty(), arrivedNs);
  }

  /** Creates a request that a peer has relayed to this VM if a hop is given. */
  ActiveRequest(
      ForwardRequest request,
      PlanRoute route,
      ServiceId service,
      Optional<PlanCustomer> customer,
      Optional<RelayHop> hop,
      long arrivedNs) {
    this.request = request;
    this.route = route;
    this.service = service;
    this.customer = customer;
    this.arrivedNs = arrivedNs;
    this.hop = hop;
    sends = hop.map(RelayHop::sends).orElse(0);
    maybeRan = hop.map(RelayHop::maybeRan).orElse(false);
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

  @Override
  public int scope() {
    return request.scope(customer());
  }

  @Override
  protected Fingerprint computeFingerprint() {
    return request.fingerprint(customer());
  }

  @Override
  public List<PartFeature> parts() {
    if (parts.isEmpty()) {
      parts = Optional.of(request.partFeatures(customer()));
    }
    return parts.get();
  }

  /** Returns the customer whose quota the request is charged to. */
  Optional<PlanCustomer> quotaCustomer() {
    return customer;
  }

  /** Sets the request's reservation of its customer's quota. */
  void setQuotaReservation(QuotaReservation held) {
    quotaReservation = held;
  }

  /** Releases the unused quota, once the request has its final answer or needs none. */
  void close() {
    quotaReservation.close();
  }

  Urgency urgency() {
    return new Urgency(customerRank(), late, route.priority());
  }

  /** Returns its urgency once it can no longer be answered on time. */
  Urgency lateUrgency() {
    return new Urgency(customerRank(), true, route.priority());
  }

  /** Returns the urgency of a request like this one that has just arrived. */
  Urgency onTimeUrgency() {
    return new Urgency(customerRank(), false, route.priority());
  }

  boolean isLate() {
    return late;
  }

  /** Returns the customer's rank, which takes precedence over the route's. */
  private int customerRank() {
    return customer
        .map(planCustomer -> planCustomer.rank().orElse(NO_CUSTOMER_RANK))
        .orElse(NO_CUSTOMER_RANK);
  }

  long arrivedNs() {
    return arrivedNs;
  }

  /** Returns when the final answer is due. */
  long dueNs() {
    return request.dueNs(route, arrivedNs);
  }

  /** Returns until when the caller waits for a response, or for the first event of a stream. */
  long callerWaitsUntilNs() {
    return responseStarted
        ? dueNs()
        : Math.min(dueNs(), arrivedNs + route.callerTimeoutMs() * NS_PER_MS);
  }

  /** Returns until when it may wait in the queue. */
  long queueDeadlineNs() {
    return arrivedNs + (long) ((callerWaitsUntilNs() - arrivedNs) * QUEUE_TIME_FRACTION);
  }

  /**
   * Returns when its current timer expires: the queue deadline, or the deadline of the answer once
   * it is at an upstream or its response has started.
   */
  long nextDeadlineNs() {
    return currentUpstream.isPresent() || responseStarted ? dueNs() : queueDeadlineNs();
  }

  /** Returns the maximum time in the queue, in seconds. */
  double maxQueueWaitS() {
    return (queueDeadlineNs() - arrivedNs) / NS_PER_S;
  }

  long remainingMs(long nowNs) {
    return Math.max(1, (dueNs() - nowNs) / NS_PER_MS);
  }

  void startAttempt(UpstreamState upstream, long nowNs) {
    currentUpstream = Optional.of(upstream);
    attemptOrigin = Optional.of(StreamOrigin.of(upstream.registration()));
    unread = true;
    reached = false;
    attempts++;
    sends++;
    sentNs = nowNs;
    tried.add(upstream.registration().id());
    quotaReservation.commit(nowNs);
  }

  /** Marks the attempt as sent to a rollout's target version that is still a canary. */
  void markCanary() {
    canary = true;
  }

  /** Returns whether the attempt was sent to a target version that was still a canary. */
  boolean isCanary() {
    return canary;
  }

  /** Marks the attempt as received by its upstream; returns whether it wasn't marked before. */
  boolean markReached() {
    boolean isNew = !reached;
    reached = true;
    return isNew;
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

  /** Records the outcome of the current attempt. */
  void endAttempt(AttemptOutcome end) {
    markPromptRead();
    currentUpstream = Optional.empty();
    expectedFirstEventMs = OptionalDouble.empty();
    canary = false;
    maybeRan |= end.maybeRan();
    if (!maybeRan) {
      quotaReservation.notRun();
    }
    if (!end.reachedUpstream()) {
      sends--;
    }
    failedConnections += end == AttemptOutcome.NOT_CONNECTED ? 1 : 0;
  }

  /** Sets the expected time from the attempt's dispatch to its first event. */
  void expectFirstEventMs(double expectedMs) {
    expectedFirstEventMs = OptionalDouble.of(expectedMs);
  }

  /** Returns that time in milliseconds, if it could be estimated. */
  OptionalDouble expectedFirstEventMs() {
    return expectedFirstEventMs;
  }

  /** Sets whether the request may be relayed to a peer. */
  void setMayRelay(boolean relayable) {
    mayRelay = relayable;
  }

  boolean mayRelay() {
    return mayRelay;
  }

  /** Returns whether a peer has relayed the request to this VM. */
  boolean isRelayed() {
    return hop.isPresent();
  }

  /** Returns whether it is a retry of a request that another VM has counted already. */
  boolean isRetryOfPeer() {
    return hop.isPresent() && hop.get().sends() > 0;
  }

  /** Returns the number of attempts for which no connection was established. */
  int failedConnections() {
    return failedConnections;
  }

  /** Returns whether no attempt has got further than to a failed connection. */
  boolean hasOnlyFailedConnections() {
    return failedConnections > 0 && failedConnections == attempts;
  }

  /** Returns the number of attempts, including those that reached no upstream. */
  int attempts() {
    return attempts;
  }

  /** Returns the number of upstreams that received the request. */
  int sends() {
    return sends;
  }

  /** Returns whether another upstream may be tried if the next one rejects the request. */
  boolean canTryAnotherUpstream() {
    return sends + 1 < route.maxAttempts();
  }

  /** Returns whether one more upstream may receive it after the current one. */
  boolean canTryAnotherUpstreamNow() {
    return sends < route.maxAttempts();
  }

  boolean hasTried(UpstreamId upstream) {
    return tried.contains(upstream);
  }

  boolean maybeRan() {
    return maybeRan;
  }

  boolean isBecomingLate(long nowNs) {
    return !late && nowNs > onTimeDeadlineNs();
  }

  /** Returns until when it must get a slot to be answered on time. */
  long onTimeDeadlineNs() {
    return arrivedNs + (long) (route.objectiveMs() * NS_PER_MS * ON_TIME_OBJECTIVE_FRACTION);
  }

  void markLate() {
    late = true;
  }

  /** Records that the caller has received the first part of the response. */
  void markResponseStarted() {
    responseStarted = true;
    origin = origin.or(() -> attemptOrigin);
    markPromptRead();
  }

  /** Sets what began the stream that the request resumes. */
  void resumeFrom(StreamOrigin begunAt) {
    origin = Optional.of(begunAt);
  }

  /** Returns what began the stream, empty as long as the caller has no event of it. */
  Optional<StreamOrigin> origin() {
    return origin;
  }

  /** Returns whether an upstream can continue the stream, or begin it if it has not begun. */
  boolean canContinueAt(Registration upstream) {
    return origin.map(begun -> begun.matches(upstream)).orElse(true);
  }

  /** Records that the upstream has processed the prompt, or no longer needs to. */
  void markPromptRead() {
    if (unread) {
      currentUpstream.ifPresent(UpstreamState::recordPromptRead);
    }
    unread = false;
  }

  /** Returns how far it has got. */
  RequestStage stage() {
    if (responseStarted) {
      return RequestStage.STREAM_BEGUN;
    }
    if (currentUpstream.isPresent()) {
      return RequestStage.AT_UPSTREAM;
    }
    return attempts > 0 ? RequestStage.WAITING_FOR_RETRY : RequestStage.WAITING_FOR_SLOT;
  }

  boolean hasResponseStarted() {
    return responseStarted;
  }
}
