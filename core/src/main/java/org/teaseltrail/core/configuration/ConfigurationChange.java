package org.teaseltrail.core.configuration;

import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;

/** Is one item of a change. A put creates what is missing and replaces what exists. */
public sealed interface ConfigurationChange {

  /**
   * Puts a tier.
   *
   * @param tier the tier
   */
  record PutTier(TierDefinition tier) implements ConfigurationChange {}

  /**
   * Removes a tier that no customer pays for.
   *
   * @param tier the tier
   */
  record RemoveTier(Tier tier) implements ConfigurationChange {}

  /**
   * Puts a customer.
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
   * Puts a pool.
   *
   * @param pool the pool
   */
  record PutPool(Pool pool) implements ConfigurationChange {}

  /**
   * Removes a pool that no route leads to and no upstream serves.
   *
   * @param pool the pool
   */
  record RemovePool(PoolId pool) implements ConfigurationChange {}

  /**
   * Puts a route.
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
   * Allows an upstream.
   *
   * @param upstream the upstream
   */
  record PutUpstream(AllowedUpstream upstream) implements ConfigurationChange {}

  /**
   * Takes the allowance of an upstream away.
   *
   * @param upstream the upstream
   */
  record RemoveUpstream(UpstreamId upstream) implements ConfigurationChange {}

  /**
   * Drains an upstream or ends its draining.
   *
   * @param upstream the upstream
   * @param draining whether it is to take no new work
   */
  record SetDraining(UpstreamId upstream, boolean draining) implements ConfigurationChange {}
}
