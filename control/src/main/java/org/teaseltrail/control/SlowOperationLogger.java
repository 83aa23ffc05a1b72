package org.teaseltrail.control;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;

/**
 * Logs slow operations of a control member, so that the cause of an unanswered order can be
 * attributed to the member's event loop, its disk or a missing quorum.
 */
final class SlowOperationLogger {

  /** A fifth of the leader's lease: a delay of this length is noticeable to the callers. */
  private static final long THRESHOLD_NS = TimeUnit.MILLISECONDS.toNanos(100);

  private final Optional<EventLog> log;

  SlowOperationLogger(Optional<EventLog> log) {
    this.log = log;
  }

  /** Logs an event that took the event loop too long, including the resulting actions. */
  void step(ControlEvent event, long elapsedNs) {
    if (elapsedNs >= THRESHOLD_NS) {
      log.ifPresent(
          lines ->
              lines
                  .line(LogEvent.STEP_SLOW)
                  .with(LogField.STEP, event.getClass().getSimpleName())
                  .with(LogField.ELAPSED_MS, TimeUnit.NANOSECONDS.toMillis(elapsedNs))
                  .write());
    }
  }

  /** Logs a disk write and sync that took too long. */
  void sync(long elapsedNs) {
    if (elapsedNs >= THRESHOLD_NS) {
      log.ifPresent(
          lines ->
              lines
                  .line(LogEvent.SYNC_SLOW)
                  .with(LogField.ELAPSED_MS, TimeUnit.NANOSECONDS.toMillis(elapsedNs))
                  .write());
    }
  }
}
