package org.teaseltrail.load.http;

import java.net.ConnectException;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import org.teaseltrail.load.measure.RequestOutcome;

/**
 * Error response or connection failure, as the caller interprets it.
 *
 * @param name the problem type without its prefix, or the kind of connection failure
 * @param outcome the outcome that the request is counted under
 * @param notRun whether the system reported that the request did not run
 * @param requestId the request's id, if reported
 */
record ErrorResponse(
    String name, RequestOutcome outcome, boolean notRun, Optional<String> requestId) {

  private static final String PREFIX = "urn:teaseltrail:problem:";
  private static final String RAN_NO = "no";
  private static final String UNTYPED = "untyped";

  /**
   * Parses a problem document. Any other text counts as a failure of a request that may have run.
   */
  static ErrorResponse parse(String json) {
    CallerJson.ProblemData data;
    try {
      data = CallerJson.read(json, CallerJson.ProblemData.class);
    } catch (MalformedAnswerException e) {
      return new ErrorResponse(UNTYPED, RequestOutcome.FAILED, false, Optional.empty());
    }
    String name = shortName(data.type());
    boolean notRun = RAN_NO.equals(data.ran());
    RequestOutcome outcome = notRun ? outcomeOf(name) : RequestOutcome.FAILED;
    return new ErrorResponse(name, outcome, notRun, Optional.ofNullable(data.requestId()));
  }

  /** Interprets a failed or broken connection, or the caller's own timeout. */
  static ErrorResponse ofConnectionError(Throwable cause) {
    RequestOutcome outcome = RequestOutcome.FAILED;
    if (cause instanceof TimeoutException) {
      outcome = RequestOutcome.UNFINISHED;
    } else if (cause instanceof ConnectException) {
      outcome = RequestOutcome.REFUSED;
    }
    return new ErrorResponse(cause.getClass().getSimpleName(), outcome, false, Optional.empty());
  }

  /** Returns a problem type without its prefix. */
  static String shortName(String type) {
    if (type == null) {
      return UNTYPED;
    }
    return type.startsWith(PREFIX) ? type.substring(PREFIX.length()) : type;
  }

  private static RequestOutcome outcomeOf(String name) {
    return switch (name) {
      case "shed", "no-scheduler" -> RequestOutcome.SHED;
      case "deadline" -> RequestOutcome.DEADLINE;
      default -> RequestOutcome.REFUSED;
    };
  }
}
