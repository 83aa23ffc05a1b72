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

/** Stores the newest announcement of each upstream until it expires. */
final class AnnouncementCache {

  private static final long NS_PER_MS = 1_000_000L;

  private record StoredAnnouncement(Announcement announcement, long expiresAtNs) {}

  private final Map<UpstreamId, StoredAnnouncement> stored = new HashMap<>();

  /**
   * Stores an announcement, unless a newer one of the same upstream has been received through
   * another VM.
   */
  void storeIfNewer(UpstreamSeen message, long nowNs) {
    Announcement announcement = message.announcement();
    StoredAnnouncement present = stored.get(announcement.upstream());
    if (present != null && !isNewer(announcement, present.announcement())) {
      return;
    }
    long remainingMs = announcement.lifetimeMs() - message.heardMs();
    stored.put(
        announcement.upstream(),
        new StoredAnnouncement(announcement, nowNs + remainingMs * NS_PER_MS));
  }

  /** Returns the upstream's newest announcement, unless it has expired. */
  Optional<Announcement> find(UpstreamId upstream, long nowNs) {
    return Optional.ofNullable(stored.get(upstream))
        .filter(latest -> latest.expiresAtNs() > nowNs)
        .map(StoredAnnouncement::announcement);
  }

  /**
   * Returns the announcements of a pool's allowed upstreams that are not draining, ordered by id.
   */
  List<Announcement> findByPool(Configuration configuration, PoolId pool, long nowNs) {
    return configuration.upstreams().values().stream()
        .filter(upstream -> upstream.pool().equals(pool) && !upstream.draining())
        .map(AllowedUpstream::id)
        .sorted((a, b) -> a.value().compareTo(b.value()))
        .flatMap(id -> find(id, nowNs).stream())
        .toList();
  }

  /** Removes upstreams that are no longer allowed. */
  void retain(Configuration configuration) {
    stored.keySet().retainAll(configuration.upstreams().keySet());
  }

  private static boolean isNewer(Announcement first, Announcement other) {
    int incarnationOrder = first.incarnation().compareTo(other.incarnation());
    return incarnationOrder > 0 || incarnationOrder == 0 && first.sequence() > other.sequence();
  }
}
