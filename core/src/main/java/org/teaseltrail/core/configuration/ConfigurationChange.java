package org.teaseltrail.core.configuration;

import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;

/** One item of a configuration change. A put creates an entity or replaces an existing one. */
public sealed interface ConfigurationChange {

  /**
   * Creates or replaces a tier.
   *
   * @param tier the tier
   */
  record PutTier(TierDefinition tier) implements ConfigurationChange {}

  /**
   * Removes a tier that no customer has.
   *
   * @param tier the tier
   */
  record RemoveTier(Tier tier) implements ConfigurationChange {}

  /**
   * Creates or replaces a customer.
   *
   * @param customer the customer
   */
  record PutCustomer(Customer customer) implements ConfigurationChange {}

  /**
   * Removes a customer.
   *
   * @param customer the customer
   */
  record RemoveCustomer(CustomerId customer) implements ConfigurationChange {}

  /**
   * Creates or replaces a pool.
   *
   * @param pool the pool
   */
  record PutPool(Pool pool) implements ConfigurationChange {}

  /**
   * Removes a pool that is referenced by no route and has no upstream.
   *
   * @param pool the pool
   */
  record RemovePool(PoolId pool) implements ConfigurationChange {}

  /**
   * Creates or replaces a route.
   *
   * @param route the route
   */
  record PutRoute(Route route) implements ConfigurationChange {}

  /**
   * Removes a route.
   *
   * @param route the route
   */
  record RemoveRoute(RouteId route) implements ConfigurationChange {}

  /**
   * Allows an upstream, or replaces its settings.
   *
   * @param upstream the upstream
   */
  record PutUpstream(AllowedUpstream upstream) implements ConfigurationChange {}

  /**
   * Removes an upstream, which is no longer allowed to serve requests.
   *
   * @param upstream the upstream
   */
  record RemoveUpstream(UpstreamId upstream) implements ConfigurationChange {}

  /**
   * Starts or ends the draining of an upstream.
   *
   * @param upstream the upstream
   * @param draining whether it is drained, so that it gets no new requests
   */
  record SetDraining(UpstreamId upstream, boolean draining) implements ConfigurationChange {}
}
