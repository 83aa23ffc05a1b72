package org.teaseltrail.core.configuration;

/** Says what a part of the configuration is. */
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
