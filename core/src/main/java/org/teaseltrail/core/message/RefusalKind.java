package org.teaseltrail.core.message;

/** Says why a request is given up before it was dispatched. In every case it did not run. */
public enum RefusalKind {
  /** Load was shed, lowest tier first. */
  SHED,
  /** The customer is over its rate. */
  RATE_LIMIT,
  /** The customer has more waiting work than its share. */
  SHARE_LIMIT,
  /** The deadline passed before an upstream was free. */
  DEADLINE,
  /** No upstream of the pool is serving. */
  NO_UPSTREAM,
  /** The pool isn't configured. */
  UNKNOWN_POOL,
  /** The key is held by a request with another body. */
  KEY_CONFLICT,
  /** There is no room for another claim, so the request can't be kept from running twice. */
  CLAIMS_FULL
}
