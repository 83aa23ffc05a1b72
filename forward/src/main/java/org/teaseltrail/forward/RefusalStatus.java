package org.teaseltrail.forward;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.teaseltrail.core.forward.RefusalReason;

/** Maps the reason of a refusal to the HTTP status that the caller receives. */
enum RefusalStatus {
  /** No route matches the request. */
  NOT_FOUND(HttpResponseStatus.NOT_FOUND),
  /** The API key of the request is missing or unknown. */
  UNAUTHORIZED(HttpResponseStatus.UNAUTHORIZED),
  /** The request did not and will not run, because the customer exceeded its quota. */
  TOO_MANY_REQUESTS(HttpResponseStatus.TOO_MANY_REQUESTS),
  /** The request did not and will not run, because it can't be served at present. */
  UNAVAILABLE(HttpResponseStatus.SERVICE_UNAVAILABLE),
  /** The request may have run. */
  BAD_GATEWAY(HttpResponseStatus.BAD_GATEWAY),
  /** The request may have run, and its deadline has passed. */
  GATEWAY_TIMEOUT(HttpResponseStatus.GATEWAY_TIMEOUT);

  private final HttpResponseStatus status;

  RefusalStatus(HttpResponseStatus status) {
    this.status = status;
  }

  HttpResponseStatus status() {
    return status;
  }

  static RefusalStatus of(RefusalReason refusal) {
    return switch (refusal) {
      case NO_ROUTE -> NOT_FOUND;
      case UNKNOWN_KEY -> UNAUTHORIZED;
      case OVER_QUOTA -> TOO_MANY_REQUESTS;
      case PLAN_UNCERTAIN,
          ENDING,
          NO_UPSTREAM,
          WAITED_TOO_LONG,
          QUARANTINED,
          NO_PATH,
          NO_MATCHING_VERSION,
          ORIGIN_UNKNOWN,
          NOT_RUN,
          FORECAST ->
          UNAVAILABLE;
      case BROKEN, GIVEN_UP -> BAD_GATEWAY;
      case TIMED_OUT -> GATEWAY_TIMEOUT;
    };
  }
}
