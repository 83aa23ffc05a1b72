package org.teaseltrail.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.Collectors;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.forward.RefusalReason;
import org.teaseltrail.core.forward.StreamResumption;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.quarantine.PartFeature;
import org.teaseltrail.core.relay.RelayHop;
import org.teaseltrail.core.relay.RelayOutcome;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;

/** Collects the timeline of one request and writes its log lines. */
final class RequestLogger {

  private static final long NS_PER_MS = 1_000_000L;

  private final ForwardRequest request;
  private final Optional<RelayHop> hop;
  private final long arrivedNs;
  private Optional<ForwardAction.Dispatch> lastDispatch = Optional.empty();
  private Optional<ForwardAction.Relay> lastRelay = Optional.empty();
  private long dispatchedNs;
  private long firstEventNs;

  RequestLogger(ForwardRequest request, Optional<RelayHop> hop, long arrivedNs) {
    this.request = request;
    this.hop = hop;
    this.arrivedNs = arrivedNs;
  }

  void dispatched(ForwardAction.Dispatch dispatch, long nowNs) {
    lastDispatch = Optional.of(dispatch);
    dispatchedNs = nowNs;
  }

  void relayed(ForwardAction.Relay relay, long nowNs) {
    lastRelay = Optional.of(relay);
    dispatchedNs = nowNs;
  }

  void relayFailed(EventLog log, RelayOutcome outcome, long nowNs) {
    line(log, LogEvent.RELAY_FAILED, nowNs).with(LogField.END, outcome.name()).write();
  }

  boolean hasResponseStarted() {
    return firstEventNs > 0;
  }

  /** Records the time of the first event and returns the time since the request arrived. */
  long responseStarted(long nowNs) {
    firstEventNs = nowNs;
    return nowNs - arrivedNs;
  }

  /**
   * Returns the time from the dispatch to the first event relative to the expected time, if one was
   * expected.
   */
  OptionalDouble actualToExpectedFirstEvent(long nowNs) {
    OptionalDouble expectedMs =
        lastDispatch
            .map(ForwardAction.Dispatch::expectedFirstEventMs)
            .orElse(OptionalDouble.empty());
    return expectedMs.isPresent() && expectedMs.getAsDouble() > 0
        ? OptionalDouble.of((nowNs - dispatchedNs) / (expectedMs.getAsDouble() * NS_PER_MS))
        : OptionalDouble.empty();
  }

  long elapsedNs(long nowNs) {
    return nowNs - arrivedNs;
  }

  void attemptEnded(EventLog log, AttemptOutcome end, int status, long nowNs) {
    EventLog.Line line =
        line(log, LogEvent.ATTEMPT_FAILED, nowNs)
            .with(LogField.END, end.name())
            .with(LogField.STATUS, status)
            .with(LogField.AT_UPSTREAM_MS, (nowNs - dispatchedNs) / NS_PER_MS);
    if (end == AttemptOutcome.BROKEN) {
      // The same fingerprint in the losses of several upstreams identifies a request, or a part of
      // prompts, that crashes them.
      addFingerprints(line, lastDispatch.flatMap(ForwardAction.Dispatch::customer));
    }
    line.write();
  }

  void delivered(EventLog log, int status, long maxEventGapMs, long nowNs) {
    line(log, LogEvent.REQUEST_SERVED, nowNs)
        .with(LogField.STATUS, status)
        .with(LogField.LONGEST_PAUSE_MS, maxEventGapMs)
        .writeRateLimited();
  }

  /**
   * Logs a refusal.
   *
   * @param begun whether the caller had got a part of the answer, which was broken off
   */
  void refused(EventLog log, ForwardAction.Refuse refuse, int status, boolean begun, long nowNs) {
    EventLog.Line line = line(log, LogEvent.REQUEST_REFUSED, nowNs);
    if (lastDispatch.isEmpty() && lastRelay.isEmpty()) {
      addSubject(line, refuse.route(), refuse.customer());
    }
    line.with(LogField.REASON, refuse.refusalReason().name())
        .with(LogField.MAYBE_RAN, refuse.refusalReason().maybeRan())
        .with(LogField.STATUS, status)
        .with(LogField.RETRY_AFTER_MS, refuse.retryAfterMs())
        .with(LogField.BEGUN, begun);
    refuse.stage().ifPresent(stage -> line.with(LogField.STAGE, stage.name()));
    refuse.expectedWaitMs().ifPresent(waitMs -> line.with(LogField.EXPECTED_WAIT_MS, waitMs));
    if (refuse.refusalReason() == RefusalReason.QUARANTINED) {
      addFingerprints(line, refuse.customer());
    }
    line.write();
  }

  /** Logs that the process ends while the request has no answer. */
  void unanswered(EventLog log, long nowNs) {
    line(log, LogEvent.REQUEST_UNANSWERED, nowNs)
        .with(LogField.BEGUN, hasResponseStarted())
        .write();
  }

  void callerDisconnected(EventLog log, boolean responseStarted, long nowNs) {
    line(log, LogEvent.CALLER_LEFT, nowNs).with(LogField.BEGUN, responseStarted).write();
  }

  private void addFingerprints(EventLog.Line line, Optional<CustomerId> customer) {
    line.with(LogField.FINGERPRINT, request.fingerprint(customer).text());
    List<PartFeature> parts = request.partFeatures(customer);
    if (!parts.isEmpty()) {
      line.with(
          LogField.PARTS,
          parts.stream().map(part -> part.fingerprint().text()).collect(Collectors.joining(",")));
    }
  }

  private EventLog.Line line(EventLog log, LogEvent event, long nowNs) {
    EventLog.Line line =
        log.line(event)
            .with(LogField.REQUEST, request.id())
            .with(LogField.ELAPSED_MS, (nowNs - arrivedNs) / NS_PER_MS);
    request.deadlineMs().ifPresent(deadlineMs -> line.with(LogField.DEADLINE_MS, deadlineMs));
    request.resumption().ifPresent(resumption -> addResumption(line, resumption));
    addSubject(
        line,
        lastDispatch
            .map(ForwardAction.Dispatch::route)
            .or(() -> lastRelay.map(ForwardAction.Relay::route)),
        lastDispatch.flatMap(ForwardAction.Dispatch::customer));
    lastDispatch.ifPresent(dispatch -> attempt(line, dispatch));
    lastRelay.ifPresent(relay -> line.with(LogField.PEER, relay.peer().vm().value()));
    hop.ifPresent(known -> line.with(LogField.RELAYED_BY, known.from().value()));
    if (firstEventNs > 0) {
      line.with(LogField.FIRST_EVENT_MS, (firstEventNs - arrivedNs) / NS_PER_MS);
    }
    return line;
  }

  private void attempt(EventLog.Line line, ForwardAction.Dispatch dispatch) {
    line.with(LogField.UPSTREAM, dispatch.upstream().id().value())
        .with(LogField.ATTEMPT, dispatch.attempt())
        .with(LogField.WAITED_MS, (dispatchedNs - arrivedNs) / NS_PER_MS);
    dispatch
        .expectedFirstEventMs()
        .ifPresent(ms -> line.with(LogField.EXPECTED_FIRST_EVENT_MS, Math.round(ms)));
    dispatch
        .upstream()
        .version()
        .ifPresent(version -> line.with(LogField.UPSTREAM_VERSION, version.value()));
    if (dispatch.canary()) {
      line.with(LogField.CANARY, true);
    }
  }

  private static void addResumption(EventLog.Line line, StreamResumption resumption) {
    resumption.begunBy().ifPresent(id -> line.with(LogField.RESUMES, id));
    resumption.lastEventId().ifPresent(id -> line.with(LogField.AFTER_EVENT, id));
  }

  /** Adds the customer, the route and the route's objective. */
  private static void addSubject(
      EventLog.Line line, Optional<PlanRoute> route, Optional<CustomerId> customer) {
    customer.ifPresent(known -> line.with(LogField.CUSTOMER, known.value()));
    route.ifPresent(
        known ->
            line.with(LogField.ROUTE, known.id().value())
                .with(LogField.OBJECTIVE_MS, known.objectiveMs()));
  }
}
