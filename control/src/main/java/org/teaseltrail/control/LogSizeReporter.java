package org.teaseltrail.control;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.teaseltrail.core.replication.LogStatus;
import org.teaseltrail.core.replication.ReplicaAction;
import org.teaseltrail.runtime.clock.SuspendAwareClock;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;

/**
 * Reports the size of a member's replicated log: as metrics, as a line for each snapshot, and as a
 * warning when the log since the latest snapshot grows beyond what snapshots should let it.
 *
 * <p>Updated by the member's event loop; the metrics are read by any thread.
 */
final class LogSizeReporter {

  /** Log since the latest snapshot, beside the state's own size, from which it is too large. */
  private static final long WARNING_BYTES = 32L * 1024 * 1024;

  private final Optional<EventLog> log;
  private final SuspendAwareClock clock;
  private final AtomicBoolean warned = new AtomicBoolean();
  private volatile LogStatus status = new LogStatus(0, 0, 0, 0, 0);
  private volatile long snapshotSavedNs;

  LogSizeReporter(Optional<EventLog> log, SuspendAwareClock clock) {
    this.log = log;
    this.clock = clock;
    snapshotSavedNs = clock.nowNs();
  }

  /** Takes the size after an event. */
  void update(LogStatus newStatus) {
    status = newStatus;
    boolean large = newStatus.bytesSinceSnapshot() > WARNING_BYTES + 2 * newStatus.snapshotBytes();
    if (large && !warned.getAndSet(true)) {
      log.ifPresent(lines -> write(lines.line(LogEvent.LOG_LARGE), newStatus.snapshotBytes()));
    }
  }

  /** Logs the write if it saves a snapshot. */
  void onWrite(ReplicaAction.Write write) {
    if (write instanceof ReplicaAction.SaveSnapshot saved) {
      snapshotSavedNs = clock.nowNs();
      warned.set(false);
      log.ifPresent(
          lines ->
              write(
                  lines
                      .line(LogEvent.SNAPSHOT_SAVED)
                      .with(LogField.INDEX, saved.snapshot().index()),
                  saved.snapshot().state().length));
    }
  }

  long entriesSinceSnapshot() {
    return status.entriesSinceSnapshot();
  }

  long bytesSinceSnapshot() {
    return status.bytesSinceSnapshot();
  }

  long heldBytes() {
    return status.heldBytes();
  }

  long snapshotBytes() {
    return status.snapshotBytes();
  }

  /** Returns the time since the latest snapshot, or since the start, in milliseconds. */
  long snapshotAgeMs() {
    return TimeUnit.NANOSECONDS.toMillis(clock.nowNs() - snapshotSavedNs);
  }

  private void write(EventLog.Line line, long stateBytes) {
    line.with(LogField.STATE_BYTES, stateBytes)
        .with(LogField.LOG_ENTRIES, status.entriesSinceSnapshot())
        .with(LogField.LOG_BYTES, status.bytesSinceSnapshot())
        .write();
  }
}
