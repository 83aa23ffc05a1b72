package org.teaseltrail.forward;

import org.teaseltrail.core.backpressure.RateLimit;
import org.teaseltrail.core.forward.BackpressureHandler;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.runtime.clock.SuspendAwareClock;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;

/** Passes on what upstreams say of themselves in answers, and logs what is news. */
final class SignalListener {

  private final BackpressureHandler signals;
  private final SuspendAwareClock clock;
  private final EventLog log;

  SignalListener(BackpressureHandler signals, SuspendAwareClock clock, EventLog log) {
    this.signals = signals;
    this.clock = clock;
    this.log = log;
  }

  /** Returns the time by which requests are dispatched. */
  long nowNs() {
    return clock.nowNs();
  }

  /** Takes the head of an upstream's own answer to what was dispatched at a time. */
  void heard(Registration upstream, AnswerHead head, long dispatchedNs) {
    head.limit().ifPresent(limit -> limit(upstream, limit, dispatchedNs));
    head.backoffMs().ifPresent(backoffMs -> backOff(upstream, backoffMs));
    if (head.leaving()) {
      leaving(upstream);
    }
  }

  /** Tells whether a request may be sent now that there is a connection. */
  boolean allowSending(UpstreamIncarnation upstream) {
    return signals.canSend(upstream, clock.nowNs());
  }

  private void limit(Registration upstream, RateLimit limit, long dispatchedNs) {
    if (signals.limit(upstream.upstreamIncarnation(), limit, dispatchedNs, clock.nowNs())) {
      line(LogEvent.LIMIT_TOLD, upstream)
          .with(LogField.LIMITED, limit.isLimited())
          .with(LogField.LIMIT_PER_S, limit.isLimited() ? limit.perSecond() : 0)
          .write();
    }
  }

  private void backOff(Registration upstream, long backoffMs) {
    if (signals.startBackoff(upstream.upstreamIncarnation(), backoffMs, clock.nowNs())) {
      line(LogEvent.BACKOFF_TOLD, upstream).with(LogField.BACKOFF_MS, backoffMs).write();
    }
  }

  private void leaving(Registration upstream) {
    if (signals.leaving(upstream.upstreamIncarnation())) {
      line(LogEvent.LEAVING_TOLD, upstream).write();
    }
  }

  private EventLog.Line line(LogEvent event, Registration upstream) {
    return log.line(event).with(LogField.UPSTREAM, upstream.id().value());
  }
}
