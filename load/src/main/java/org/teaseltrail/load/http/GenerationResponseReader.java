package org.teaseltrail.load.http;

import java.util.EnumSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.teaseltrail.load.measure.RequestOutcome;
import org.teaseltrail.load.workload.PlannedRequest;

/**
 * Reads the streamed response to one generation request and validates that it is complete and
 * belongs to the request.
 */
final class GenerationResponseReader {

  private static final int OK = 200;
  private static final String COMPLETED = "completed";
  private static final String NOT_RUN = "not_run";
  private static final long NS_PER_MS = 1_000_000;

  private final PlannedRequest planned;
  private final String expectedText;
  private final long intendedNs;
  private final SseDecoder events = new SseDecoder();
  private final StringBuilder text = new StringBuilder();
  private final StringBuilder problemBody = new StringBuilder();
  private final Set<ResponseFault> faults = EnumSet.noneOf(ResponseFault.class);
  private Optional<String> requestId = Optional.empty();
  private Optional<CallerJson.OutcomeData> closing = Optional.empty();
  private Optional<Throwable> failure = Optional.empty();
  private OptionalLong firstTokenNs = OptionalLong.empty();
  private int status;
  private long nextSequence;

  /**
   * Creates the reader of one response.
   *
   * @param planned the request
   * @param expectedText the response text that the stand-ins (simulated upstreams) generate for it
   * @param intendedNs when the request should have been sent
   */
  GenerationResponseReader(PlannedRequest planned, String expectedText, long intendedNs) {
    this.planned = planned;
    this.expectedText = expectedText;
    this.intendedNs = intendedNs;
  }

  /** Handles the response's status and the request id that the system assigned. */
  void head(int httpStatus, String id) {
    status = httpStatus;
    requestId = Optional.ofNullable(id);
  }

  /** Handles a chunk of the response body. */
  void chunk(String chunk, long nowNs) {
    if (status != OK) {
      problemBody.append(chunk);
      return;
    }
    try {
      events.feed(chunk).forEach(e -> event(e, nowNs));
    } catch (MalformedAnswerException e) {
      faults.add(ResponseFault.MALFORMED);
    }
  }

  /** Handles a connection failure or timeout. */
  void broken(Throwable cause) {
    failure = Optional.of(cause);
  }

  /** Returns the result of the call after the response has ended. */
  CallResult result(long nowNs) {
    long endNs = nowNs - intendedNs;
    if (failure.isPresent()) {
      ErrorResponse broken = ErrorResponse.ofConnectionError(failure.get());
      return ended(broken.outcome(), broken.name(), broken.notRun(), endNs);
    }
    if (status != OK) {
      return refusal(endNs);
    }
    if (closing.isEmpty()) {
      faults.add(ResponseFault.NO_CLOSING_EVENT);
      return ended(RequestOutcome.FAILED, "no-closing-event", false, endNs);
    }
    return closed(closing.get(), endNs);
  }

  private void event(SseEvent event, long nowNs) {
    if (event.type().equals("token")) {
      token(CallerJson.read(event.data(), CallerJson.TokenData.class), nowNs);
    } else if (event.type().equals("outcome")) {
      closing = Optional.of(CallerJson.read(event.data(), CallerJson.OutcomeData.class));
    }
  }

  private void token(CallerJson.TokenData token, long nowNs) {
    if (firstTokenNs.isEmpty()) {
      firstTokenNs = OptionalLong.of(nowNs - intendedNs);
    }
    if (token.seq() != nextSequence) {
      faults.add(ResponseFault.OUT_OF_ORDER);
    }
    nextSequence = token.seq() + 1;
    text.append(token.text());
    if (!expectedText.startsWith(text.toString())) {
      faults.add(ResponseFault.NOT_ITS_OWN);
    }
  }

  private CallResult closed(CallerJson.OutcomeData data, long endNs) {
    if (data.outcome().equals(COMPLETED)) {
      if (!expectedText.contentEquals(text)) {
        faults.add(ResponseFault.NOT_WHOLE);
      }
      boolean useful = endNs <= planned.kind().usefulDeadlineMs() * NS_PER_MS;
      RequestOutcome outcome = useful ? RequestOutcome.USEFUL : RequestOutcome.LATE;
      return ended(outcome, COMPLETED, false, endNs);
    }
    boolean notRun = data.outcome().equals(NOT_RUN);
    return ended(RequestOutcome.FAILED, ErrorResponse.shortName(data.type()), notRun, endNs);
  }

  private CallResult refusal(long endNs) {
    ErrorResponse refusal = ErrorResponse.parse(problemBody.toString());
    if (requestId.isEmpty()) {
      requestId = refusal.requestId();
    }
    return ended(refusal.outcome(), refusal.name(), refusal.notRun(), endNs);
  }

  private CallResult ended(RequestOutcome outcome, String reason, boolean saidNotRun, long endNs) {
    return new CallResult(
        planned,
        outcome,
        reason,
        saidNotRun,
        requestId,
        firstTokenNs,
        endNs,
        closing.map(CallerJson.OutcomeData::usage),
        faults);
  }
}
