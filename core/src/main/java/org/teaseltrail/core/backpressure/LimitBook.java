package org.teaseltrail.core.backpressure;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.teaseltrail.core.registry.UpstreamLife;

/**
 * Remembers what upstreams said last of their limits, whoever heard it.
 *
 * <p>That a limit was lifted is remembered for a while too. Guards against an older sighting of
 * another VM that comes later and would set the limit again.
 */
public final class LimitBook {

  private static final long NS_PER_MS = 1_000_000L;

  /** Time for which a lifted limit is remembered; no sighting is on its way for longer. */
  private static final long LIFTED_MEMORY_NS = 10_000 * NS_PER_MS;

  private record Entry(RateLimit limit, long seenNs, long changedNs) {}

  private final Map<UpstreamLife, Entry> entries = new HashMap<>();

  /**
   * Takes what an answer said, unless a newer one is known.
   *
   * @param upstream whose answer
   * @param limit the limit
   * @param seenNs when the answer came
   * @param nowNs time
   * @return whether the limit in force is another one now
   */
  public boolean note(UpstreamLife upstream, RateLimit limit, long seenNs, long nowNs) {
    Entry known = entries.get(upstream);
    boolean nothingNew = known == null ? !limit.isLimited() : seenNs <= known.seenNs();
    if (nothingNew) {
      return false;
    }
    boolean changed = known == null || !known.limit().equals(limit);
    entries.put(upstream, new Entry(limit, seenNs, changed ? nowNs : known.changedNs()));
    return changed;
  }

  /**
   * Returns an upstream's limit.
   *
   * @param upstream the upstream
   * @return the limit in force
   */
  public RateLimit limit(UpstreamLife upstream) {
    Entry known = entries.get(upstream);
    return known == null ? RateLimit.UNLIMITED : known.limit();
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
   * Forgets upstreams that are gone, and limits that were lifted long ago.
   *
   * @param present lives of the upstreams that are there
   * @param nowNs time
   */
  public void forget(Set<UpstreamLife> present, long nowNs) {
    entries
        .entrySet()
        .removeIf(
            entry -> {
              Entry known = entry.getValue();
              boolean lifted = !known.limit().isLimited();
              boolean old = nowNs - known.seenNs() > LIFTED_MEMORY_NS;
              return (lifted || !present.contains(entry.getKey())) && old;
            });
  }
}
