package org.teaseltrail.forward;

import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;

/** Logs and counts unexpected answers. */
final class UnexpectedAnswerLogger {

  private final EventLog log;
  private final ForwardMetrics metrics;

  UnexpectedAnswerLogger(EventLog log, ForwardMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Records an answer.
   *
   * @param sender field that names its sender, an upstream or a peer
   * @param id id of the sender
   * @param answer the answer
   */
  void record(LogField sender, String id, UnexpectedAnswer answer) {
    metrics.unexpectedAnswer(answer.handling());
    EventLog.Line line =
        log.line(LogEvent.UNEXPECTED_ANSWER)
            .with(LogField.END, answer.handling().name())
            .with(sender, id);
    answer.awaited().ifPresent(request -> line.with(LogField.REQUEST, request));
    answer.named().ifPresent(request -> line.with(LogField.NAMED_REQUEST, request));
    answer.previous().ifPresent(request -> line.with(LogField.PREVIOUS_REQUEST, request));
    line.with(LogField.STATUS, answer.status())
        .with(LogField.CONNECTION_USES, answer.connectionUses())
        .with(LogField.CONNECTION_AGE_MS, answer.connectionAgeMs())
        .writeRateLimited();
  }
}
