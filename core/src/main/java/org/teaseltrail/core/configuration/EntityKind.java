package org.teaseltrail.core.configuration;

/** Kind of an entity of the configuration. */
public enum EntityKind {
  /** A tier. */
  TIER,
  /** A customer. */
  CUSTOMER,
  /** A pool. */
  POOL,
  /** A route. */
  ROUTE,
  /** An allowed upstream. */
  UPSTREAM
}
