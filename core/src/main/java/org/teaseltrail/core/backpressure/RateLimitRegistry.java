package org.teaseltrail.core.backpressure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.teaseltrail.core.registry.UpstreamIncarnation;

/**
 * Remembers what upstreams said last of their limits, whoever heard it.
 *
 * <p>That a limit was lifted is remembered for a while too. Guards against an older sighting of
 * another VM that comes later and would set the limit again.
 */
public final class RateLimitRegistry {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Time for which a lifted limit, or one of an upstream that is gone, is remembered; no sighting
   * is on its way for longer.
   */
  private static final long MEMORY_NS = 10_000 * NS_PER_MS;

  private record Entry(RateLimit limit, long seenNs) {}

  private final Map<UpstreamIncarnation, Entry> entries = new HashMap<>();

  /**
   * Takes what an answer said, unless a newer one is known.
   *
   * @param upstream whose answer
   * @param limit the limit
   * @param observedNs when the answer came
   * @return whether the limit in force is another one now
   */
  public boolean recordObservation(UpstreamIncarnation upstream, RateLimit limit, long observedNs) {
    Entry known = entries.get(upstream);
    boolean nothingNew = known == null ? !limit.isLimited() : observedNs <= known.seenNs();
    if (nothingNew) {
      return false;
    }
    entries.put(upstream, new Entry(limit, observedNs));
    return known == null || !known.limit().equals(limit);
  }

  /**
   * Returns an upstream's limit.
   *
   * @param upstream the upstream
   * @return the limit in force
   */
  public RateLimit limit(UpstreamIncarnation upstream) {
    Entry known = entries.get(upstream);
    return known == null ? RateLimit.UNLIMITED : known.limit();
  }

  /**
   * Returns when an upstream last said something of a limit.
   *
   * @param upstream the upstream
   * @return the time, {@link Long#MIN_VALUE} if nothing is known
   */
  public long observedNs(UpstreamIncarnation upstream) {
    Entry known = entries.get(upstream);
    return known == null ? Long.MIN_VALUE : known.seenNs();
  }

  /**
   * Tells whether nothing is known of any limit, as on most days.
   *
   * @return true if there is neither a limit nor one that was lifted lately
   */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /**
   * Returns what is known, for others.
   *
   * @param wanted which upstreams are of interest
   * @param nowNs time
   * @return what they said last
   */
  public List<RateLimitObservation> sightings(Predicate<UpstreamIncarnation> wanted, long nowNs) {
    List<RateLimitObservation> sightings = new ArrayList<>();
    entries.forEach(
        (upstream, entry) -> {
          if (wanted.test(upstream)) {
            long agoMs = (nowNs - entry.seenNs()) / NS_PER_MS;
            sightings.add(new RateLimitObservation(upstream, entry.limit(), agoMs));
          }
        });
    return sightings;
  }

  /**
   * Forgets upstreams that are gone, and limits that were lifted long ago.
   *
   * @param present lives of the upstreams that are there
   * @param nowNs time
   * @return what was forgotten
   */
  public List<UpstreamIncarnation> removeStale(Set<UpstreamIncarnation> present, long nowNs) {
    List<UpstreamIncarnation> forgotten = new ArrayList<>();
    entries.forEach(
        (upstream, entry) -> {
          boolean lifted = !entry.limit().isLimited();
          boolean old = nowNs - entry.seenNs() > MEMORY_NS;
          if (old && (lifted || !present.contains(upstream))) {
            forgotten.add(upstream);
          }
        });
    entries.keySet().removeAll(forgotten);
    return forgotten;
  }
}
