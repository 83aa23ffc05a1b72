package org.teaseltrail.forward;

import org.teaseltrail.core.backpressure.RateLimit;
import org.teaseltrail.core.backpressure.RejectionLimit;
import org.teaseltrail.core.forward.BackpressureHandler;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.runtime.clock.SuspendAwareClock;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;

/**
 * Passes the signals in upstreams' responses, namely rate limits, backoffs and announced
 * deregistrations, to the {@link BackpressureHandler}, and logs the changes.
 */
final class UpstreamSignalHandler {

  private final BackpressureHandler backpressure;
  private final SuspendAwareClock clock;
  private final EventLog log;

  UpstreamSignalHandler(BackpressureHandler backpressure, SuspendAwareClock clock, EventLog log) {
    this.backpressure = backpressure;
    this.clock = clock;
    this.log = log;
  }

  /** Returns the time on the clock that dispatch times refer to. */
  long nowNs() {
    return clock.nowNs();
  }

  /**
   * Handles the head of an upstream's response to a request that was dispatched at a given time.
   */
  void heard(Registration upstream, ResponseHead head, long dispatchedNs) {
    head.limit().ifPresent(limit -> limit(upstream, limit, dispatchedNs));
    head.rejectionLimit().ifPresent(limit -> onRejectionLimit(upstream, limit, dispatchedNs));
    head.backoffMs().ifPresent(backoffMs -> onBackoff(upstream, backoffMs));
    if (head.leaving()) {
      leaving(upstream);
    }
  }

  /** Returns whether a request may still be sent once a connection is established. */
  boolean canSend(UpstreamIncarnation upstream) {
    return backpressure.canSend(upstream, clock.nowNs());
  }

  private void limit(Registration upstream, RateLimit limit, long dispatchedNs) {
    if (backpressure.limit(upstream.upstreamIncarnation(), limit, dispatchedNs, clock.nowNs())) {
      line(LogEvent.LIMIT_TOLD, upstream)
          .with(LogField.LIMITED, limit.isLimited())
          .with(LogField.LIMIT_PER_S, limit.isLimited() ? limit.perSecond() : 0)
          .write();
    }
  }

  private void onRejectionLimit(Registration upstream, RejectionLimit limit, long dispatchedNs) {
    if (backpressure.rejectionLimit(upstream.service(), limit, dispatchedNs, clock.nowNs())) {
      line(LogEvent.REJECTION_LIMIT_TOLD, upstream)
          .with(LogField.SERVICE, upstream.service().value())
          .with(LogField.LIMITED, limit.isLimited())
          .with(LogField.LIMIT_PER_S, limit.isLimited() ? limit.perSecond() : 0)
          .write();
    }
  }

  private void onBackoff(Registration upstream, long backoffMs) {
    if (backpressure.startBackoff(upstream.upstreamIncarnation(), backoffMs, clock.nowNs())) {
      line(LogEvent.BACKOFF_TOLD, upstream).with(LogField.BACKOFF_MS, backoffMs).write();
    }
  }

  private void leaving(Registration upstream) {
    if (backpressure.leaving(upstream.upstreamIncarnation())) {
      line(LogEvent.LEAVING_TOLD, upstream).write();
    }
  }

  private EventLog.Line line(LogEvent event, Registration upstream) {
    return log.line(event).with(LogField.UPSTREAM, upstream.id().value());
  }
}
