package org.teaseltrail.core.control;

/**
 * Paces the orders to engines.
 *
 * @param loadSpacingMs least time between two orders that read from the weight store, which is
 *     limited in rate
 * @param orderTimeoutMs time after which an order that had no effect is given up, so that another
 *     engine may be tried
 */
public record PlacementSettings(long loadSpacingMs, long orderTimeoutMs) {

  /** One load in 10 s, given two minutes to show in the engine's announcements. */
  public static final PlacementSettings DEFAULT = new PlacementSettings(10_000, 120_000);
}
