package org.teaseltrail.core.configuration;

import java.util.Map;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Is all that operators have set, at one revision. Immutable; a change makes a new one.
 *
 * @param revision counts the accepted changes
 * @param tiers the tiers by rank
 * @param customers the customers
 * @param pools the pools
 * @param routes the routes
 * @param upstreams the allowed upstreams
 */
public record Configuration(
    Revision revision,
    Map<Tier, TierDefinition> tiers,
    Map<CustomerId, Customer> customers,
    Map<PoolId, Pool> pools,
    Map<RouteId, Route> routes,
    Map<UpstreamId, AllowedUpstream> upstreams) {
  /** Copies the maps, so that no one can change them. */
  public Configuration {
    tiers = Map.copyOf(tiers);
    customers = Map.copyOf(customers);
    pools = Map.copyOf(pools);
    routes = Map.copyOf(routes);
    upstreams = Map.copyOf(upstreams);
  }

  /** Returns the configuration of a new group: nothing at revision zero. */
  public static Configuration empty() {
    return new Configuration(new Revision(0), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
  }
}
