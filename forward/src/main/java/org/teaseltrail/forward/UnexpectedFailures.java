package org.teaseltrail.forward;

import java.util.concurrent.CompletableFuture;
import org.teaseltrail.runtime.log.ComponentLogger;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.log.FailureText;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;
import org.teaseltrail.runtime.process.ExitCode;

/**
 * Decides what an unexpected exception of an entry VM ends. One in the handling of a request ends
 * that request, and one in a task that is repeated ends only that run of it. After an exception out
 * of the decisions, their state may be inconsistent: the VM takes no more callers and its process
 * ends, once what is open has been completed.
 */
final class UnexpectedFailures {

  private final ComponentLogger logger = new ComponentLogger("entry");
  private final EventLog log;
  private final ForwardMetrics metrics;
  private final CompletableFuture<ExitCode> ended;
  private volatile boolean fatal;

  /**
   * Creates an instance.
   *
   * @param ended completed when the process has to end
   */
  UnexpectedFailures(EventLog log, ForwardMetrics metrics, CompletableFuture<ExitCode> ended) {
    this.log = log;
    this.metrics = metrics;
    this.ended = ended;
  }

  /** Returns whether the process has to end. */
  boolean isFatal() {
    return fatal;
  }

  /** Logs an exception that ends a request. */
  void requestFailed(String requestId, Throwable failure) {
    metrics.internalError();
    line(LogEvent.INTERNAL_ERROR, failure).with(LogField.REQUEST, requestId).writeRateLimited();
  }

  /** Logs an exception that ends a connection, or one run of a task. */
  void taskFailed(Throwable failure) {
    metrics.internalError();
    line(LogEvent.INTERNAL_ERROR, failure).writeRateLimited();
  }

  /** Lets the process end after an exception out of the decisions. */
  void decisionFailed(Throwable failure) {
    if (fatal) {
      taskFailed(failure);
      return;
    }
    fatal = true;
    metrics.internalError();
    logger.error("Unexpected error; the process ends.", failure);
    line(LogEvent.PROCESS_FAILED, failure)
        .with(LogField.EXIT_CODE, ExitCode.INTERNAL.code())
        .write();
    ended.complete(ExitCode.INTERNAL);
  }

  private EventLog.Line line(LogEvent event, Throwable failure) {
    return log.line(event)
        .with(LogField.THREAD, Thread.currentThread().getName())
        .with(LogField.CAUSE, FailureText.of(failure));
  }
}
