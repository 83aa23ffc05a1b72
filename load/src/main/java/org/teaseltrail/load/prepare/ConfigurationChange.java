package org.teaseltrail.load.prepare;

import java.util.List;

/**
 * Is the change that configures a deployment, as {@code teaseltrail apply} reads it.
 *
 * @param changeId names it
 * @param changes its items
 */
record ConfigurationChange(String changeId, List<Item> changes) {

  /**
   * Is one item; one field is set, the others are null.
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
   * Is a tier.
   *
   * @param rank its rank
   * @param name its name
   */
  record TierItem(int rank, String name) {}

  /**
   * Is a customer.
   *
   * @param id its name
   * @param tier its tier's rank
   * @param keyHashes hashes of its API keys
   * @param weight its share within the tier
   */
  record CustomerItem(String id, int tier, List<String> keyHashes, int weight) {}

  /**
   * Is a pool.
   *
   * @param id its name
   * @param maxWaitingMs work that may wait
   */
  record PoolItem(String id, long maxWaitingMs) {}

  /**
   * Is a route; the model or the service is null.
   *
   * @param id its name
   * @param model the model it leads to
   * @param service the service it leads to
   * @param pool its pool
   */
  record RouteItem(String id, ModelItem model, ServiceItem service, String pool) {}

  /**
   * Is a model.
   *
   * @param model its name
   * @param version its version
   */
  record ModelItem(String model, String version) {}

  /**
   * Is a plain service.
   *
   * @param service its name
   * @param nonIdempotentMethods methods whose calls may run at most once
   */
  record ServiceItem(String service, List<String> nonIdempotentMethods) {}

  /**
   * Is an upstream.
   *
   * @param id its name
   * @param pool its pool
   * @param secretHash hash of its secret
   * @param honoursFencing whether it refuses old orders
   */
  record UpstreamItem(String id, String pool, String secretHash, boolean honoursFencing) {}
}
