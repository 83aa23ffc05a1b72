package org.teaseltrail.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.serving.ExpectedWait;
import org.teaseltrail.core.serving.Urgency;

/**
 * A forecast of the waits for slots of one service, continued by their growth in earlier forecasts.
 *
 * <p>All VMs act on the same forecast until the next one. In a burst each would queue whatever
 * comes meanwhile, and then refuse what it has just queued.
 */
public final class ServiceForecast {

  /**
   * Maximum growth of a wait, in milliseconds per millisecond: that of demand for two and a half
   * times the slots.
   */
  private static final double MAX_GROWTH = 1.5;

  /**
   * Fraction of a growth that the next forecast keeps if the wait has not grown meanwhile: the
   * demand is still there while newcomers are refused, and forgotten within a second.
   */
  private static final double KEPT_GROWTH = 0.8;

  private static final double NS_PER_MS = 1e6;

  private record Key(Urgency urgency, Optional<CustomerId> customer) {}

  private final Map<Key, ExpectedWait> waits = new HashMap<>();
  private final Map<Key, Double> growths = new HashMap<>();
  private final long arrivedNs;

  /**
   * Creates a forecast.
   *
   * @param waits the leader's forecast
   * @param arrivedNs when it arrived, in nanoseconds
   * @param before the forecast before, if it was still valid then
   */
  ServiceForecast(List<ExpectedWait> waits, long arrivedNs, Optional<ServiceForecast> before) {
    waits.forEach(wait -> this.waits.put(new Key(wait.urgency(), wait.customer()), wait));
    this.arrivedNs = arrivedNs;
    before.ifPresent(
        earlier -> this.waits.keySet().forEach(key -> growths.put(key, growth(key, earlier))));
  }

  private double growth(Key key, ServiceForecast earlier) {
    double elapsedMs = Math.max(1, (arrivedNs - earlier.arrivedNs) / NS_PER_MS);
    long grownMs = waits.get(key).waitMs() - earlier.waitMs(key.urgency(), key.customer());
    double keptGrowth = KEPT_GROWTH * earlier.growths.getOrDefault(key, 0.0);
    return Math.min(MAX_GROWTH, Math.max(keptGrowth, grownMs / elapsedMs));
  }

  /**
   * Returns the wait that the leader expected when it sent the forecast.
   *
   * @param urgency the urgency
   * @param customer the customer, if there is one
   * @return milliseconds, 0 if no notable wait is expected
   */
  public long waitMs(Urgency urgency, Optional<CustomerId> customer) {
    return find(urgency, customer).map(ExpectedWait::waitMs).orElse(0L);
  }

  /**
   * Returns the wait that is expected now if it has kept growing.
   *
   * @param urgency the urgency
   * @param customer the customer, if there is one
   * @param nowNs time, in nanoseconds
   * @return milliseconds
   */
  public long waitMs(Urgency urgency, Optional<CustomerId> customer, long nowNs) {
    double elapsedMs = (nowNs - arrivedNs) / NS_PER_MS;
    return find(urgency, customer)
        .map(wait -> wait.waitMs() + (long) (growths.getOrDefault(key(wait), 0.0) * elapsedMs))
        .orElse(0L);
  }

  /**
   * Returns by how much the wait grows when each VM queues one more request.
   *
   * @param urgency the urgency
   * @param customer the customer, if there is one
   * @return milliseconds, 0 if no notable wait is expected
   */
  public long perRequestMs(Urgency urgency, Optional<CustomerId> customer) {
    return find(urgency, customer).map(ExpectedWait::growthMs).orElse(0L);
  }

  private static Key key(ExpectedWait wait) {
    return new Key(wait.urgency(), wait.customer());
  }

  /** Returns whether requests of no urgency and customer are expected to wait notably. */
  public boolean isEmpty() {
    return waits.isEmpty();
  }

  private Optional<ExpectedWait> find(Urgency urgency, Optional<CustomerId> customer) {
    ExpectedWait own = waits.get(new Key(urgency, customer));
    return own != null
        ? Optional.of(own)
        : Optional.ofNullable(waits.get(new Key(urgency, Optional.empty())));
  }
}
