package org.teaseltrail.core.backpressure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.teaseltrail.core.registry.UpstreamIncarnation;

/**
 * Stores the newest rate limit that each upstream has announced, as observed by any entry VM.
 *
 * <p>A lifted limit is remembered for a while as well. Otherwise an older observation of another VM
 * that arrives later would set the limit again.
 */
public final class RateLimitRegistry {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Time for which the registry keeps a lifted limit, or the limit of an upstream that is no longer
   * present. No observation is in flight for longer.
   */
  private static final long RETENTION_NS = 10_000 * NS_PER_MS;

  private record Entry(RateLimit limit, long observedNs) {}

  private final Map<UpstreamIncarnation, Entry> entries = new HashMap<>();

  /**
   * Records a limit from an upstream's answer unless a newer observation is known.
   *
   * @param upstream the upstream that answered
   * @param limit the limit
   * @param observedNs time at which the answer arrived
   * @return whether the upstream's limit changed
   */
  public boolean recordObservation(UpstreamIncarnation upstream, RateLimit limit, long observedNs) {
    Entry known = entries.get(upstream);
    boolean outdated = known == null ? !limit.isLimited() : observedNs <= known.observedNs();
    if (outdated) {
      return false;
    }
    entries.put(upstream, new Entry(limit, observedNs));
    return known == null || !known.limit().equals(limit);
  }

  /**
   * Returns the limit of an upstream.
   *
   * @param upstream the upstream
   * @return the current limit
   */
  public RateLimit limit(UpstreamIncarnation upstream) {
    Entry known = entries.get(upstream);
    return known == null ? RateLimit.UNLIMITED : known.limit();
  }

  /**
   * Returns the time of the newest observation of an upstream.
   *
   * @param upstream the upstream
   * @return the time, {@link Long#MIN_VALUE} if there is no observation
   */
  public long observedNs(UpstreamIncarnation upstream) {
    Entry known = entries.get(upstream);
    return known == null ? Long.MIN_VALUE : known.observedNs();
  }

  /**
   * Returns whether no limit is stored, which is the usual case.
   *
   * @return true if there is neither a limit nor a recently lifted one
   */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /**
   * Returns the newest observations, to be sent to other members or VMs.
   *
   * @param wanted selects the upstreams
   * @param nowNs current time
   * @return the newest observation of each selected upstream
   */
  public List<RateLimitObservation> sightings(Predicate<UpstreamIncarnation> wanted, long nowNs) {
    List<RateLimitObservation> sightings = new ArrayList<>();
    entries.forEach(
        (upstream, entry) -> {
          if (wanted.test(upstream)) {
            long agoMs = (nowNs - entry.observedNs()) / NS_PER_MS;
            sightings.add(new RateLimitObservation(upstream, entry.limit(), agoMs));
          }
        });
    return sightings;
  }

  /**
   * Removes upstreams that are no longer present, and limits that were lifted long ago.
   *
   * @param present incarnations of the present upstreams
   * @param nowNs current time
   * @return the removed upstreams
   */
  public List<UpstreamIncarnation> removeStale(Set<UpstreamIncarnation> present, long nowNs) {
    List<UpstreamIncarnation> stale = new ArrayList<>();
    entries.forEach(
        (upstream, entry) -> {
          boolean lifted = !entry.limit().isLimited();
          boolean old = nowNs - entry.observedNs() > RETENTION_NS;
          if (old && (lifted || !present.contains(upstream))) {
            stale.add(upstream);
          }
        });
    entries.keySet().removeAll(stale);
    return stale;
  }
}
