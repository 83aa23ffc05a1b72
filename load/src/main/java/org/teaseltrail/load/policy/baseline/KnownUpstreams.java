package org.teaseltrail.load.policy.baseline;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.UpstreamPhase;

/** Is what one VM knows of the upstreams from their announcements, which are stale on arrival. */
final class KnownUpstreams {

  private static final long NS_PER_MS = 1_000_000;

  private final Map<UpstreamId, Known> known =
      new TreeMap<>((a, b) -> a.value().compareTo(b.value()));

  /** Takes an announcement; it also ends a time of avoidance. */
  void heard(Announcement announcement, long nowNs) {
    Known old = known.get(announcement.upstream());
    if (old == null
        || old.announcement().sequence() < announcement.sequence()
        || !same(old, announcement)) {
      known.put(announcement.upstream(), new Known(announcement, nowNs, false));
    }
  }

  /** Leaves an upstream out until its next announcement. */
  void avoid(UpstreamId upstream) {
    known.computeIfPresent(upstream, (id, k) -> new Known(k.announcement(), k.heardNs(), true));
  }

  /** Returns the upstreams that may take work, in the order of their names. */
  List<Announcement> serving(long nowNs) {
    List<Announcement> serving = new ArrayList<>();
    for (Known k : known.values()) {
      boolean alive = nowNs - k.heardNs() < k.announcement().lifetimeMs() * NS_PER_MS;
      if (alive && !k.avoided() && k.announcement().phase() == UpstreamPhase.SERVING) {
        serving.add(k.announcement());
      }
    }
    return serving;
  }

  private static boolean same(Known old, Announcement announcement) {
    return old.announcement().incarnation().equals(announcement.incarnation());
  }

  private record Known(Announcement announcement, long heardNs, boolean avoided) {}
}
