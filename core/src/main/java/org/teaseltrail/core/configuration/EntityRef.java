package org.teaseltrail.core.configuration;

import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Points at one part of the configuration, for the message of a failure.
 *
 * @param kind what it is
 * @param name its id as text
 */
public record EntityRef(EntityKind kind, String name) {

  /** Points at a tier. */
  public static EntityRef of(Tier tier) {
    return new EntityRef(EntityKind.TIER, Integer.toString(tier.rank()));
  }

  /** Points at a customer. */
  public static EntityRef of(CustomerId customer) {
    return new EntityRef(EntityKind.CUSTOMER, customer.value());
  }

  /** Points at a pool. */
  public static EntityRef of(PoolId pool) {
    return new EntityRef(EntityKind.POOL, pool.value());
  }

  /** Points at a route. */
  public static EntityRef of(RouteId route) {
    return new EntityRef(EntityKind.ROUTE, route.value());
  }

  /** Points at an allowed upstream. */
  public static EntityRef of(UpstreamId upstream) {
    return new EntityRef(EntityKind.UPSTREAM, upstream.value());
  }
}
