package org.teaseltrail.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.serving.ServingReply;

/** Holds the newest forecast of each service until its validity ends. */
public final class ForecastStore {

  private static final long NS_PER_MS = 1_000_000L;

  private record Held(ServiceForecast forecast, long validUntilNs) {}

  private final Map<ServiceId, Held> held = new HashMap<>();

  /** Creates a store without forecasts. */
  public ForecastStore() {}

  /**
   * Replaces the forecast of a service.
   *
   * @param forecast the leader's message
   * @param nowNs time of arrival, in nanoseconds
   */
  public void update(ServingReply.WaitForecast forecast, long nowNs) {
    Optional<ServiceForecast> before = find(forecast.service(), nowNs);
    held.put(
        forecast.service(),
        new Held(
            new ServiceForecast(forecast.waits(), nowNs, before),
            nowNs + forecast.forMs() * NS_PER_MS));
  }

  /** Drops all forecasts: they came from a leader that no longer leads. */
  public void clear() {
    held.clear();
  }

  /**
   * Returns the forecast of a service.
   *
   * @param service the service
   * @param nowNs time, in nanoseconds
   * @return empty if there is none that is still valid
   */
  public Optional<ServiceForecast> find(ServiceId service, long nowNs) {
    return Optional.ofNullable(held.get(service))
        .filter(each -> nowNs < each.validUntilNs())
        .map(Held::forecast);
  }
}
