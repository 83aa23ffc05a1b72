package org.teaseltrail.core.configuration;

import java.util.Map;
import org.teaseltrail.core.collection.OrderedCopies;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Configuration set by operators, at one revision. Immutable; a change creates a new instance.
 *
 * @param revision number of accepted changes
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
  /** Copies the maps, so that the configuration is immutable. */
  public Configuration {
    tiers = OrderedCopies.mapOf(tiers);
    customers = OrderedCopies.mapOf(customers);
    pools = OrderedCopies.mapOf(pools);
    routes = OrderedCopies.mapOf(routes);
    upstreams = OrderedCopies.mapOf(upstreams);
  }

  /** Returns the empty configuration at revision zero, with which a new group starts. */
  public static Configuration empty() {
    return new Configuration(new Revision(0), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
  }
}
