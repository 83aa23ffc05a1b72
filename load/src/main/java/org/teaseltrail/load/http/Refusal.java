package org.teaseltrail.load.http;

import java.net.ConnectException;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import org.teaseltrail.load.measure.RequestOutcome;

/**
 * Is an answer other than success, as the caller understands it.
 *
 * @param name the kind of problem, without its prefix
 * @param outcome how the request counts
 * @param notRun whether the caller was told that the request did not run
 * @param requestId the request's id, if told
 */
record Refusal(String name, RequestOutcome outcome, boolean notRun, Optional<String> requestId) {

  private static final String PREFIX = "urn:teaseltrail:problem:";
  private static final String RAN_NO = "no";
  private static final String UNTYPED = "untyped";

  /** Reads a problem document; what isn't one counts as a failure that may have run. */
  static Refusal parse(String json) {
    CallerJson.ProblemData data;
    try {
      data = CallerJson.read(json, CallerJson.ProblemData.class);
    } catch (MalformedAnswerException e) {
      return new Refusal(UNTYPED, RequestOutcome.FAILED, false, Optional.empty());
    }
    String name = shortName(data.type());
    boolean notRun = RAN_NO.equals(data.ran());
    RequestOutcome outcome = notRun ? outcomeOf(name) : RequestOutcome.FAILED;
    return new Refusal(name, outcome, notRun, Optional.ofNullable(data.requestId()));
  }

  /** Understands a broken or never made connection, or the caller's own giving up. */
  static Refusal ofBroken(Throwable cause) {
    RequestOutcome outcome = RequestOutcome.FAILED;
    if (cause instanceof TimeoutException) {
      outcome = RequestOutcome.UNFINISHED;
    } else if (cause instanceof ConnectException) {
      outcome = RequestOutcome.REFUSED;
    }
    return new Refusal(cause.getClass().getSimpleName(), outcome, false, Optional.empty());
  }

  /** Returns a problem's type without its prefix. */
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
