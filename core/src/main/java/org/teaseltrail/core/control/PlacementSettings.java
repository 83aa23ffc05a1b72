package org.teaseltrail.core.control;

/**
 * Rate and timeout of the orders to engines.
 *
 * @param loadSpacingMs minimum time between two orders that read from the weight store, which is
 *     rate-limited
 * @param orderTimeoutMs time after which an order without effect is abandoned, so that another
 *     engine can be tried
 */
public record PlacementSettings(long loadSpacingMs, long orderTimeoutMs) {

  /** One load in 10 s, with a timeout of two minutes until the engine announces it. */
  public static final PlacementSettings DEFAULT = new PlacementSettings(10_000, 120_000);
}
