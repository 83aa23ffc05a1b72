package org.teaseltrail.core.request;

import org.teaseltrail.core.message.RefusalKind;

/** Says why a request did not run. */
public enum NotRunReason {
  /** The scheduler shed load, lowest tier first. */
  SHED("shed", 503, "Load was shed."),
  /** The customer is over its rate. */
  RATE_LIMIT("rate-limit", 429, "The customer's rate limit is reached."),
  /** The customer has more waiting work than its share. */
  SHARE_LIMIT("share-limit", 429, "The customer's share of waiting work is used up."),
  /** The deadline passed before an upstream was free. */
  DEADLINE("deadline", 503, "The deadline passed before the request could run."),
  /** No upstream of the pool is serving. */
  NO_UPSTREAM("no-upstream", 503, "No upstream serves this route now."),
  /** The pool isn't configured. */
  UNKNOWN_POOL("unknown-pool", 503, "The route's pool is not configured."),
  /** The key is held by a request with another body. */
  KEY_CONFLICT("key-conflict", 409, "The idempotency key belongs to another body."),
  /** There is no room for another claim. */
  CLAIMS_FULL("claims-full", 503, "No more idempotency keys can be kept now."),
  /** The caller hung up before the dispatch. */
  CANCELLED("cancelled", 503, "The caller hung up."),
  /** The upstream said that it refused the request before it ran. */
  REFUSED_BY_UPSTREAM("refused-by-upstream", 503, "The upstream refused the request."),
  /** No scheduler has been in reach for long; given up from the lowest tier up. */
  NO_SCHEDULER("no-scheduler", 503, "No scheduler is in reach."),
  /** The VM has no valid session, so it can't know the configuration in force. */
  NOT_ADMITTING("not-admitting", 503, "This VM admits no requests now."),
  /** The VM is shutting down. */
  DRAINING("draining", 503, "This VM is shutting down."),
  /** The VM holds as many requests as it may. */
  VM_FULL("vm-full", 503, "This VM holds as many requests as it may."),
  /** The API key is missing or belongs to no customer. */
  UNAUTHENTICATED("unauthenticated", 401, "The API key is missing or unknown."),
  /** No route leads to the model, version and adapter. */
  UNKNOWN_MODEL("unknown-model", 404, "No route leads to this model."),
  /** No route leads to the service. */
  UNKNOWN_SERVICE("unknown-service", 404, "No route leads to this service."),
  /** A request that must not run twice came without a key. */
  KEY_REQUIRED("key-required", 400, "A non-idempotent request needs an Idempotency-Key.");

  private final String problemName;
  private final int httpStatus;
  private final String title;

  NotRunReason(String problemName, int httpStatus, String title) {
    this.problemName = problemName;
    this.httpStatus = httpStatus;
    this.title = title;
  }

  /** Returns the reason that stands for a scheduler's refusal. */
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

  /** Returns the last part of the problem's type. */
  public String problemName() {
    return problemName;
  }

  /** Returns the HTTP status that callers get. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns a sentence for people. */
  public String title() {
    return title;
  }
}
