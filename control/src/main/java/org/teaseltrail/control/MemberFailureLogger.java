package org.teaseltrail.control;

import java.util.Optional;
import org.teaseltrail.runtime.log.ComponentLogger;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.log.FailureText;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;
import org.teaseltrail.runtime.process.ExitCode;

/** Logs why a control member or its process ends, in words and as a line of the event log. */
final class MemberFailureLogger {

  private final ComponentLogger logger = new ComponentLogger("control");
  private final Optional<EventLog> log;

  MemberFailureLogger(Optional<EventLog> log) {
    this.log = log;
  }

  /** Logs that the member stops, as the current thread failed. */
  void memberFailed(String sentence, Throwable failure, ExitCode exitCode) {
    write(LogEvent.MEMBER_FAILED, sentence, failure, exitCode);
  }

  /** Logs that the process ends, as the current thread failed. */
  void processFailed(String sentence, Throwable failure, ExitCode exitCode) {
    write(LogEvent.PROCESS_FAILED, sentence, failure, exitCode);
  }

  /**
   * Logs that the data folder can't be used yet.
   *
   * @param failure the exception, null if it was logged before
   */
  void folderUnusable(String sentence, Throwable failure) {
    logger.error(sentence, failure);
    String cause = failure == null ? sentence : sentence + " " + failure.getMessage();
    log.ifPresent(
        lines -> lines.line(LogEvent.FOLDER_UNUSABLE).with(LogField.CAUSE, cause).write());
  }

  /** Logs that the member runs again. */
  void restarted(long elapsedMs) {
    logger.info("Restarted the member.");
    log.ifPresent(
        lines ->
            lines.line(LogEvent.MEMBER_RESTARTED).with(LogField.ELAPSED_MS, elapsedMs).write());
  }

  private void write(LogEvent event, String sentence, Throwable failure, ExitCode exitCode) {
    logger.error(sentence, failure);
    log.ifPresent(
        lines ->
            lines
                .line(event)
                .with(LogField.THREAD, Thread.currentThread().getName())
                .with(LogField.CAUSE, FailureText.of(failure))
                .with(LogField.EXIT_CODE, exitCode.code())
                .write());
  }
}
