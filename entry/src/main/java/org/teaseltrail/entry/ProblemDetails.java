package org.teaseltrail.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import org.reactivestreams.Publisher;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.ExecutionStatus;
import org.teaseltrail.core.request.NotRunReason;
import org.teaseltrail.core.request.Outcome;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Problem details ({@code application/problem+json}) of a refused or failed request.
 *
 * @param httpStatus the HTTP status
 * @param name the last part of the type URI
 * @param title a sentence that describes the type
 * @param detail a sentence that describes this occurrence; never contains the caller's text
 * @param ran whether the request ran
 * @param request the request, if it has an id
 * @param retryAfterMs time after which the caller may retry; zero if a retry is of no use
 */
record ProblemDetails(
    int httpStatus,
    String name,
    String title,
    String detail,
    ExecutionStatus ran,
    Optional<RequestId> request,
    long retryAfterMs) {

  private static final String TYPE_PREFIX = "urn:teaseltrail:problem:";
  private static final String CONTENT_TYPE = "application/problem+json";
  private static final int CONFLICT = 409;
  private static final int BAD_GATEWAY = 502;
  private static final long MILLIS_PER_SECOND = 1_000;

  static ProblemDetails of(ProblemKind kind, String detail) {
    return new ProblemDetails(
        kind.httpStatus(),
        kind.problemName(),
        kind.title(),
        detail,
        ExecutionStatus.NO,
        Optional.empty(),
        0);
  }

  /** Returns the problem details of an outcome other than completed. */
  static ProblemDetails of(RequestId request, Outcome outcome) {
    if (outcome instanceof Outcome.NotRun notRun) {
      NotRunReason reason = notRun.reason();
      return new ProblemDetails(
          reason.httpStatus(),
          reason.problemName(),
          reason.title(),
          "The request did not run.",
          ExecutionStatus.NO,
          Optional.of(request),
          notRun.retryAfterMs());
    }
    if (outcome instanceof Outcome.HeldByEarlier held) {
      return heldByEarlier(request, held);
    }
    Outcome.MayHaveRun failed = (Outcome.MayHaveRun) outcome;
    return new ProblemDetails(
        BAD_GATEWAY,
        failed.reason().problemName(),
        failed.reason().title(),
        "The request may have run.",
        ExecutionStatus.MAYBE,
        Optional.of(request),
        0);
  }

  private static ProblemDetails heldByEarlier(RequestId request, Outcome.HeldByEarlier held) {
    IdempotencyConflict state = IdempotencyConflict.of(held.state());
    return new ProblemDetails(
        CONFLICT,
        state.problemName(),
        state.title(),
        "Request " + held.holder() + " holds the idempotency key.",
        held.ran(),
        Optional.of(request),
        state.retryAfterMs());
  }

  /** Returns the type URI of the problem. */
  String type() {
    return TYPE_PREFIX + name;
  }

  /** Sends the problem as the response. */
  Publisher<Void> send(HttpServerResponse response) {
    response.status(httpStatus).header(HttpHeaderNames.CONTENT_TYPE, CONTENT_TYPE);
    request.ifPresent(id -> response.header(HttpConstants.REQUEST_ID, id.value()));
    if (retryAfterMs > 0) {
      long retryAfterSeconds = (retryAfterMs + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      response.header(HttpHeaderNames.RETRY_AFTER, Long.toString(retryAfterSeconds));
    }
    byte[] body = JsonCodec.bytes(json());
    response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
    return response.sendObject(Unpooled.wrappedBuffer(body));
  }

  private ObjectNode json() {
    ObjectNode json = JsonCodec.createObject();
    json.put("type", type());
    json.put("title", title);
    json.put("status", httpStatus);
    json.put("detail", detail);
    json.put("ran", ran.text());
    request.ifPresent(id -> json.put("request_id", id.value()));
    if (retryAfterMs > 0) {
      json.put("retry_after_ms", retryAfterMs);
    }
    return json;
  }
}
