package org.teaseltrail.control;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;

/**
 * Tells what held a control member up, so that an order without an answer can be put down to the
 * member's thread, its disk or the lack of a quorum.
 */
final class SlowLog {

  /** A fifth of the leader's lease: whoever waits for the member feels what takes so long. */
  private static final long SLOW_NS = TimeUnit.MILLISECONDS.toNanos(100);

  private final Optional<EventLog> log;

  SlowLog(Optional<EventLog> log) {
    this.log = log;
  }

  /** Notes how long the member's thread took for an event and the actions that follow from it. */
  void step(ControlEvent event, long tookNs) {
    if (tookNs >= SLOW_NS) {
      log.ifPresent(
          lines ->
              lines
                  .line(LogEvent.STEP_SLOW)
                  .with(LogField.STEP, event.getClass().getSimpleName())
                  .with(LogField.ELAPSED_MS, TimeUnit.NANOSECONDS.toMillis(tookNs))
                  .write());
    }
  }

  /** Notes how long a sync of the disk took. */
  void sync(long tookNs) {
    if (tookNs >= SLOW_NS) {
      log.ifPresent(
          lines ->
              lines
                  .line(LogEvent.SYNC_SLOW)
                  .with(LogField.ELAPSED_MS, TimeUnit.NANOSECONDS.toMillis(tookNs))
                  .write());
    }
  }
}
