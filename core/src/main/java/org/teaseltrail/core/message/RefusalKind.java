package org.teaseltrail.core.message;

/** Reason why the scheduler refuses a waiting request; the request was not executed. */
public enum RefusalKind {
  /** The request was shed under overload; the lowest tier is shed first. */
  SHED,
  /** The customer exceeds its rate limit. */
  RATE_LIMIT,
  /** The queued requests of the customer exceed its share of the queue. */
  SHARE_LIMIT,
  /** The deadline expired before an upstream had capacity. */
  DEADLINE,
  /** No upstream of the pool accepts requests. */
  NO_UPSTREAM,
  /** The pool is not configured. */
  UNKNOWN_POOL,
  /** The idempotency key is in use by a request with a different body. */
  KEY_CONFLICT,
  /** The limit of claims is reached, so that a second execution could not be prevented. */
  CLAIMS_FULL
}
