package org.teaseltrail.load.prepare;

import java.util.List;

/**
 * Configuration change that sets up a deployment, in the JSON format read by {@code teaseltrail
 * apply}.
 *
 * @param changeId id of the change
 * @param changes the items of the change
 */
record ConfigurationChange(String changeId, List<Item> changes) {

  /**
   * Item of a change; exactly one component is set, the others are null.
   *
   * @param putTier a tier
   * @param putCustomer a customer
   * @param putPool a pool
   * @param putRoute a route
   * @param putUpstream an upstream
   */
  record Item(
      TierItem putTier,
      CustomerItem putCustomer,
      PoolItem putPool,
      RouteItem putRoute,
      UpstreamItem putUpstream) {

    static Item of(TierItem tier) {
      return new Item(tier, null, null, null, null);
    }

    static Item of(CustomerItem customer) {
      return new Item(null, customer, null, null, null);
    }

    static Item of(PoolItem pool) {
      return new Item(null, null, pool, null, null);
    }

    static Item of(RouteItem route) {
      return new Item(null, null, null, route, null);
    }

    static Item of(UpstreamItem upstream) {
      return new Item(null, null, null, null, upstream);
    }
  }

  /**
   * Configuration of a tier.
   *
   * @param rank its rank
   * @param name its name
   */
  record TierItem(int rank, String name) {}

  /**
   * Configuration of a customer.
   *
   * @param id its id
   * @param tier its tier's rank
   * @param keyHashes hashes of its API keys
   * @param weight its share of engine time relative to other customers of the tier
   */
  record CustomerItem(String id, int tier, List<String> keyHashes, int weight) {}

  /**
   * Configuration of a pool.
   *
   * @param id its id
   * @param maxWaitingMs maximum backlog in milliseconds of processing time
   */
  record PoolItem(String id, long maxWaitingMs) {}

  /**
   * Configuration of a route; either the model or the service is null.
   *
   * @param id its id
   * @param model the model that it routes to
   * @param service the service that it routes to
   * @param pool id of its pool
   */
  record RouteItem(String id, ModelItem model, ServiceItem service, String pool) {}

  /**
   * Model that a route targets.
   *
   * @param model its name
   * @param version its version
   */
  record ModelItem(String model, String version) {}

  /**
   * Plain service that a route targets.
   *
   * @param service its name
   * @param nonIdempotentMethods HTTP methods whose calls must run at most once
   */
  record ServiceItem(String service, List<String> nonIdempotentMethods) {}

  /**
   * Configuration of an upstream.
   *
   * @param id its id
   * @param pool id of its pool
   * @param secretHash hash of its secret
   * @param honoursFencing whether it rejects requests with an outdated fencing number
   */
  record UpstreamItem(String id, String pool, String secretHash, boolean honoursFencing) {}
}
