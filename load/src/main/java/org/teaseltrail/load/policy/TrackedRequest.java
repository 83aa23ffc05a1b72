package org.teaseltrail.load.policy;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.IdempotencyKey;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.Claim;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.load.measure.RequestOutcome;
import org.teaseltrail.load.workload.Deployment;
import org.teaseltrail.load.workload.PlannedRequest;

/** State of one request of a run from its arrival to its outcome. */
final class TrackedRequest {

  private static final long NS_PER_MS = 1_000_000;

  private final PlannedRequest planned;
  private final RequestId id;
  private final VmId vm;
  private final boolean counted;
  private final List<Long> blocks;
  private Optional<UpstreamId> upstream = Optional.empty();
  private Optional<RequestOutcome> outcome = Optional.empty();
  private Optional<PrefillWasteTracker.PrefillCost> prefill = Optional.empty();
  private long dispatchedNs;
  private long lastTokenNs;
  private int tokens;

  TrackedRequest(PlannedRequest planned, VmId vm, boolean counted) {
    this.planned = planned;
    this.id = new RequestId("r" + planned.index());
    this.vm = vm;
    this.counted = counted;
    this.blocks = planned.prompt().blocks();
  }

  /** Returns the ticket that the entry VM submits at the given time. */
  Ticket ticket(Deployment deployment, long nowNs) {
    long waitedMs = (nowNs - planned.atNs()) / NS_PER_MS;
    long deadlineMs = planned.kind().sendsDeadline() ? usefulDeadlineNs() / NS_PER_MS : 0;
    long remainingMs = deadlineMs == 0 ? 0 : Math.max(1, deadlineMs - nowNs / NS_PER_MS);
    return new Ticket(
        id,
        planned.customer(),
        planned.tier(),
        new RouteId(deployment.pool().value()),
        deployment.pool(),
        planned.kind().target(),
        planned.prompt().tokens(),
        maxTokens(),
        blocks,
        waitedMs,
        remainingMs,
        claim());
  }

  /**
   * Returns the maximum response length that the caller requests: the smallest power of two that
   * isn't less than the planned length.
   */
  int maxTokens() {
    return Integer.highestOneBit(Math.max(1, 2 * planned.outputTokens() - 1));
  }

  PlannedRequest planned() {
    return planned;
  }

  RequestId id() {
    return id;
  }

  VmId vm() {
    return vm;
  }

  /** Returns whether the request arrived in the measurement interval. */
  boolean counted() {
    return counted;
  }

  List<Long> blocks() {
    return blocks;
  }

  long usefulDeadlineNs() {
    return planned.atNs() + planned.kind().usefulDeadlineMs() * NS_PER_MS;
  }

  boolean hasEnded() {
    return outcome.isPresent();
  }

  Optional<RequestOutcome> outcome() {
    return outcome;
  }

  boolean isDispatched() {
    return upstream.isPresent();
  }

  Optional<UpstreamId> upstream() {
    return upstream;
  }

  long dispatchedNs() {
    return dispatchedNs;
  }

  long lastTokenNs() {
    return lastTokenNs;
  }

  int tokens() {
    return tokens;
  }

  Optional<PrefillWasteTracker.PrefillCost> prefill() {
    return prefill;
  }

  void dispatch(UpstreamId chosen, long nowNs) {
    upstream = Optional.of(chosen);
    dispatchedNs = nowNs;
  }

  /** Reverts the dispatch after the upstream refused the request before running it. */
  void undoDispatch() {
    upstream = Optional.empty();
  }

  void prefilled(PrefillWasteTracker.PrefillCost done) {
    prefill = Optional.of(done);
  }

  void onTokensReceived(int count, long nowNs) {
    tokens += count;
    lastTokenNs = nowNs;
  }

  void end(RequestOutcome reached) {
    if (hasEnded()) {
      throw new IllegalStateException(id + " already has the outcome " + outcome.get());
    }
    outcome = Optional.of(reached);
  }

  private Optional<Claim> claim() {
    return planned.kind().idempotent()
        ? Optional.empty()
        : Optional.of(new Claim(new IdempotencyKey("k" + planned.index()), "0".repeat(64), true));
  }
}
