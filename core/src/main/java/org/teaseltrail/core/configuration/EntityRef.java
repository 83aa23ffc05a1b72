package org.teaseltrail.core.configuration;

import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Reference to an entity of the configuration, for error reports.
 *
 * @param kind the kind of the entity
 * @param name its id as text
 */
public record EntityRef(EntityKind kind, String name) {

  /** Returns a reference to a tier. */
  public static EntityRef of(Tier tier) {
    return new EntityRef(EntityKind.TIER, Integer.toString(tier.rank()));
  }

  /** Returns a reference to a customer. */
  public static EntityRef of(CustomerId customer) {
    return new EntityRef(EntityKind.CUSTOMER, customer.value());
  }

  /** Returns a reference to a pool. */
  public static EntityRef of(PoolId pool) {
    return new EntityRef(EntityKind.POOL, pool.value());
  }

  /** Returns a reference to a route. */
  public static EntityRef of(RouteId route) {
    return new EntityRef(EntityKind.ROUTE, route.value());
  }

  /** Returns a reference to an allowed upstream. */
  public static EntityRef of(UpstreamId upstream) {
    return new EntityRef(EntityKind.UPSTREAM, upstream.value());
  }
}
