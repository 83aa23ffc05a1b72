package org.teaseltrail.load.policy.baseline;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.UpstreamPhase;

/**
 * Tracks the state of the upstreams as one VM knows it from their announcements. Due to the network
 * delay, the announced state is already outdated on arrival.
 */
final class UpstreamTracker {

  private static final long NS_PER_MS = 1_000_000;

  private final Map<UpstreamId, KnownUpstream> known =
      new TreeMap<>((a, b) -> a.value().compareTo(b.value()));

  /** Applies an announcement; a new one also ends the upstream's ejection. */
  void heard(Announcement announcement, long nowNs) {
    KnownUpstream old = known.get(announcement.upstream());
    if (old == null
        || old.announcement().sequence() < announcement.sequence()
        || !sameIncarnation(old, announcement)) {
      known.put(announcement.upstream(), new KnownUpstream(announcement, nowNs, false));
    }
  }

  /** Ejects an upstream until its next announcement. */
  void eject(UpstreamId upstream) {
    known.computeIfPresent(
        upstream, (id, k) -> new KnownUpstream(k.announcement(), k.heardNs(), true));
  }

  /** Returns the upstreams that accept requests, ordered by id. */
  List<Announcement> serving(long nowNs) {
    List<Announcement> serving = new ArrayList<>();
    for (KnownUpstream k : known.values()) {
      boolean alive = nowNs - k.heardNs() < k.announcement().lifetimeMs() * NS_PER_MS;
      if (alive && !k.avoided() && k.announcement().phase() == UpstreamPhase.SERVING) {
        serving.add(k.announcement());
      }
    }
    return serving;
  }

  private static boolean sameIncarnation(KnownUpstream old, Announcement announcement) {
    return old.announcement().incarnation().equals(announcement.incarnation());
  }

  private record KnownUpstream(Announcement announcement, long heardNs, boolean avoided) {}
}
