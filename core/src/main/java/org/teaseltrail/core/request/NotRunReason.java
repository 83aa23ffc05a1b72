package org.teaseltrail.core.request;

import org.teaseltrail.core.message.RefusalKind;

/** Reason why a request was not executed. */
public enum NotRunReason {
  /** The scheduler shed the request under overload; the lowest tier is shed first. */
  SHED("shed", 503, "Load was shed."),
  /** The customer exceeds its rate limit. */
  RATE_LIMIT("rate-limit", 429, "The customer's rate limit is reached."),
  /** The queued requests of the customer exceed its share of the queue. */
  SHARE_LIMIT("share-limit", 429, "The customer's share of waiting work is used up."),
  /** The deadline expired before an upstream had capacity. */
  DEADLINE("deadline", 503, "The deadline passed before the request could run."),
  /** No upstream of the pool accepts requests. */
  NO_UPSTREAM("no-upstream", 503, "No upstream serves this route now."),
  /** The pool is not configured. */
  UNKNOWN_POOL("unknown-pool", 503, "The route's pool is not configured."),
  /** The idempotency key is in use by a request with a different body. */
  KEY_CONFLICT("key-conflict", 409, "The idempotency key belongs to another body."),
  /** The maximum number of idempotency key claims is reached. */
  CLAIMS_FULL("claims-full", 503, "No more idempotency keys can be kept now."),
  /** The caller disconnected before the dispatch. */
  CANCELLED("cancelled", 503, "The caller hung up."),
  /** The upstream reported that it refused the request without executing it. */
  REFUSED_BY_UPSTREAM("refused-by-upstream", 503, "The upstream refused the request."),
  /** No scheduler has been reachable for too long; requests are shed, lowest tier first. */
  NO_SCHEDULER("no-scheduler", 503, "No scheduler is in reach."),
  /** The VM has no valid session and therefore can't know which configuration is in force. */
  NOT_ADMITTING("not-admitting", 503, "This VM admits no requests now."),
  /** The VM is shutting down. */
  DRAINING("draining", 503, "This VM is shutting down."),
  /** Upstreams were lost each time they ran the request's content. */
  QUARANTINED("quarantined", 503, "Upstreams ended while they ran this request."),
  /** The VM has reached its limit of concurrent requests. */
  VM_FULL("vm-full", 503, "This VM holds as many requests as it may."),
  /** The API key is missing or unknown. */
  UNAUTHENTICATED("unauthenticated", 401, "The API key is missing or unknown."),
  /** No route is configured for the model, version and adapter. */
  UNKNOWN_MODEL("unknown-model", 404, "No route leads to this model."),
  /** No route is configured for the service. */
  UNKNOWN_SERVICE("unknown-service", 404, "No route leads to this service."),
  /** A non-idempotent request carries no idempotency key. */
  KEY_REQUIRED("key-required", 400, "A non-idempotent request needs an Idempotency-Key.");

  private final String problemName;
  private final int httpStatus;
  private final String title;

  NotRunReason(String problemName, int httpStatus, String title) {
    this.problemName = problemName;
    this.httpStatus = httpStatus;
    this.title = title;
  }

  /** Returns the reason that corresponds to a refusal by the scheduler. */
  public static NotRunReason of(RefusalKind kind) {
    return switch (kind) {
      case SHED -> SHED;
      case RATE_LIMIT -> RATE_LIMIT;
      case SHARE_LIMIT -> SHARE_LIMIT;
      case DEADLINE -> DEADLINE;
      case NO_UPSTREAM -> NO_UPSTREAM;
      case UNKNOWN_POOL -> UNKNOWN_POOL;
      case KEY_CONFLICT -> KEY_CONFLICT;
      case CLAIMS_FULL -> CLAIMS_FULL;
    };
  }

  /** Returns the last segment of the problem type URI. */
  public String problemName() {
    return problemName;
  }

  /** Returns the HTTP status code of the response. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the human-readable title of the problem. */
  public String title() {
    return title;
  }
}
