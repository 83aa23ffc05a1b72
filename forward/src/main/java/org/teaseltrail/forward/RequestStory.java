package org.teaseltrail.forward;

import java.util.Optional;
import org.teaseltrail.core.forward.AttemptEnd;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.runtime.log.EventLog;

/** Gathers what happens to one request, for its lines in the log. */
final class RequestStory {

  private static final long NS_PER_MS = 1_000_000L;

  private final ForwardRequest request;
  private final long arrivedNs;
  private Optional<ForwardAction.Dispatch> last = Optional.empty();
  private long dispatchedNs;
  private long begunNs;

  RequestStory(ForwardRequest request, long arrivedNs) {
    this.request = request;
    this.arrivedNs = arrivedNs;
  }

  void dispatched(ForwardAction.Dispatch dispatch, long nowNs) {
    last = Optional.of(dispatch);
    dispatchedNs = nowNs;
  }

  boolean hasBegun() {
    return begunNs > 0;
  }

  /** Notes the first event; returns the time until it. */
  long begun(long nowNs) {
    begunNs = nowNs;
    return nowNs - arrivedNs;
  }

  long elapsedNs(long nowNs) {
    return nowNs - arrivedNs;
  }

  void attemptEnded(EventLog log, AttemptEnd end, int status, long nowNs) {
    line(log, "attempt_failed", nowNs)
        .with("end", end.name())
        .with("status", status)
        .with("at_upstream_ms", (nowNs - dispatchedNs) / NS_PER_MS)
        .write();
  }

  void delivered(EventLog log, int status, long longestPauseMs, long nowNs) {
    line(log, "request_served", nowNs)
        .with("status", status)
        .with("longest_pause_ms", longestPauseMs)
        .writeRoutine();
  }

  void refused(EventLog log, ForwardAction.Refuse refuse, int status, long nowNs) {
    line(log, "request_refused", nowNs)
        .with("reason", refuse.refusal().name())
        .with("maybe_ran", refuse.refusal().maybeRan())
        .with("status", status)
        .with("retry_after_ms", refuse.retryAfterMs())
        .write();
  }

  void callerLeft(EventLog log, boolean begun, long nowNs) {
    line(log, "caller_left", nowNs).with("begun", begun).write();
  }

  private EventLog.Line line(EventLog log, String event, long nowNs) {
    EventLog.Line line =
        log.line(event)
            .with("request", request.id())
            .with("elapsed_ms", (nowNs - arrivedNs) / NS_PER_MS);
    last.flatMap(ForwardAction.Dispatch::customer)
        .ifPresent(customer -> line.with("customer", customer.value()));
    last.ifPresent(
        dispatch ->
            line.with("route", dispatch.route().id().value())
                .with("objective_ms", dispatch.route().objectiveMs())
                .with("upstream", dispatch.upstream().id().value())
                .with("attempt", dispatch.attempt())
                .with("waited_ms", (dispatchedNs - arrivedNs) / NS_PER_MS));
    if (begunNs > 0) {
      line.with("first_event_ms", (begunNs - arrivedNs) / NS_PER_MS);
    }
    return line;
  }
}
