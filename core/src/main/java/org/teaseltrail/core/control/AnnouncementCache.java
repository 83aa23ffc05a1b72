package org.teaseltrail.core.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.message.EntryMessage.UpstreamSeen;
import org.teaseltrail.core.upstream.Announcement;

/** Knows the newest announcement of each upstream, for as long as it counts. */
final class AnnouncementCache {

  private static final long NS_PER_MS = 1_000_000L;

  private record Seen(Announcement announcement, long endsAtNs) {}

  private final Map<UpstreamId, Seen> seen = new HashMap<>();

  /** Takes an announcement; an older one that comes late over another VM changes nothing. */
  void storeIfNewer(UpstreamSeen message, long nowNs) {
    Announcement announcement = message.announcement();
    Seen present = seen.get(announcement.upstream());
    if (present != null && !isNewer(announcement, present.announcement())) {
      return;
    }
    long leftMs = announcement.lifetimeMs() - message.heardMs();
    seen.put(announcement.upstream(), new Seen(announcement, nowNs + leftMs * NS_PER_MS));
  }

  /** Returns what an upstream says of itself, unless it has been silent for too long. */
  Optional<Announcement> find(UpstreamId upstream, long nowNs) {
    return Optional.ofNullable(seen.get(upstream))
        .filter(one -> one.endsAtNs() > nowNs)
        .map(Seen::announcement);
  }

  /** Returns the announcements of a pool's allowed upstreams, in the order of their ids. */
  List<Announcement> findByPool(Configuration configuration, PoolId pool, long nowNs) {
    return configuration.upstreams().values().stream()
        .filter(upstream -> upstream.pool().equals(pool) && !upstream.draining())
        .map(AllowedUpstream::id)
        .sorted((a, b) -> a.value().compareTo(b.value()))
        .flatMap(id -> find(id, nowNs).stream())
        .toList();
  }

  /** Forgets upstreams that are no longer allowed. */
  void retain(Configuration configuration) {
    seen.keySet().retainAll(configuration.upstreams().keySet());
  }

  private static boolean isNewer(Announcement one, Announcement other) {
    int lives = one.incarnation().compareTo(other.incarnation());
    return lives > 0 || lives == 0 && one.sequence() > other.sequence();
  }
}
