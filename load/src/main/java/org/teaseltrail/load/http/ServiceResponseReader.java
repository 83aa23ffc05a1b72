package org.teaseltrail.load.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.teaseltrail.load.measure.RequestOutcome;
import org.teaseltrail.load.workload.PlannedRequest;

/** Reads the response to one call of the plain service. */
final class ServiceResponseReader {

  private static final int SUCCESS_CLASS = 2;
  private static final int CLASS_DIVISOR = 100;
  private static final long NS_PER_MS = 1_000_000;

  private final PlannedRequest planned;
  private final long intendedNs;
  private Optional<String> requestId = Optional.empty();
  private Optional<Throwable> failure = Optional.empty();
  private String body = "";
  private int status;

  ServiceResponseReader(PlannedRequest planned, long intendedNs) {
    this.planned = planned;
    this.intendedNs = intendedNs;
  }

  void head(int httpStatus, HttpHeaders headers) {
    status = httpStatus;
    requestId = Optional.ofNullable(headers.get("X-Request-Id"));
  }

  void body(String text) {
    body = text;
  }

  void broken(Throwable cause) {
    failure = Optional.of(cause);
  }

  CallResult result(long nowNs) {
    long endNs = nowNs - intendedNs;
    if (failure.isPresent()) {
      return refused(ErrorResponse.ofConnectionError(failure.get()), endNs);
    }
    if (status / CLASS_DIVISOR != SUCCESS_CLASS) {
      return refused(ErrorResponse.parse(body), endNs);
    }
    boolean useful = endNs <= planned.kind().usefulDeadlineMs() * NS_PER_MS;
    RequestOutcome outcome = useful ? RequestOutcome.USEFUL : RequestOutcome.LATE;
    return ended(outcome, "completed", false, OptionalLong.of(endNs), endNs);
  }

  private CallResult refused(ErrorResponse refusal, long endNs) {
    if (requestId.isEmpty()) {
      requestId = refusal.requestId();
    }
    return ended(refusal.outcome(), refusal.name(), refusal.notRun(), OptionalLong.empty(), endNs);
  }

  private CallResult ended(
      RequestOutcome outcome, String reason, boolean notRun, OptionalLong firstNs, long endNs) {
    return new CallResult(
        planned, outcome, reason, notRun, requestId, firstNs, endNs, Optional.empty(), Set.of());
  }
}
