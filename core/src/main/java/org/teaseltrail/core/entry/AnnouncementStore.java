package org.teaseltrail.core.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.message.EntryMessage.UpstreamSeen;
import org.teaseltrail.core.request.Millis;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.UpstreamPhase;

/**
 * Stores the newest announcement of each upstream that this VM has received, and checks the
 * credentials of announcing upstreams.
 */
final class AnnouncementStore {

  private final AppliedConfiguration configuration;
  private final Map<UpstreamId, Received> heard = new LinkedHashMap<>();

  AnnouncementStore(AppliedConfiguration configuration) {
    this.configuration = configuration;
  }

  UpstreamVerdict authorize(UpstreamId upstream, String secretHash) {
    if (!configuration.isConfirmed()) {
      return UpstreamVerdict.NOT_READY;
    }
    Optional<AllowedUpstream> allowed = configuration.upstream(upstream);
    if (allowed.isEmpty()) {
      return UpstreamVerdict.NOT_ALLOWED;
    }
    return isSameHash(allowed.get().secretHash(), secretHash)
        ? UpstreamVerdict.ACCEPTED
        : UpstreamVerdict.WRONG_SECRET;
  }

  private static boolean isSameHash(String expected, String actual) {
    return MessageDigest.isEqual(
        expected.getBytes(StandardCharsets.US_ASCII), actual.getBytes(StandardCharsets.US_ASCII));
  }

  /**
   * Stores an announcement unless a later one of the same upstream is known.
   *
   * @return whether it was stored and must be forwarded to the leader
   */
  boolean storeIfNewer(Announcement announcement, long nowNs) {
    Received known = heard.get(announcement.upstream());
    if (known != null && !isLater(announcement, known.announcement())) {
      return false;
    }
    heard.put(announcement.upstream(), new Received(announcement, nowNs));
    return true;
  }

  private static boolean isLater(Announcement candidate, Announcement known) {
    int byIncarnation = candidate.incarnation().compareTo(known.incarnation());
    return byIncarnation > 0 || byIncarnation == 0 && candidate.sequence() > known.sequence();
  }

  /**
   * Returns whether this VM must not dispatch new work to an upstream.
   *
   * <p>A grant can cross the upstream's announcement that it is leaving, or an operator's drain,
   * and the work would be cut off when the upstream exits. The VM therefore checks its own state
   * right before the dispatch, so that the age of the grant doesn't matter.
   */
  boolean isLeaving(UpstreamId upstream, Incarnation granted) {
    if (configuration.upstream(upstream).map(AllowedUpstream::draining).orElse(true)) {
      return true;
    }
    Received known = heard.get(upstream);
    if (known == null) {
      return false;
    }
    int comparison = known.announcement().incarnation().compareTo(granted);
    return comparison > 0
        || comparison == 0 && known.announcement().phase() == UpstreamPhase.LEAVING;
  }

  /**
   * Returns the announcements that have not expired, to be reported to a new leader. Expired ones
   * are kept, since an upstream's announcement that it is leaving applies for the rest of its
   * incarnation. Only upstreams that the configuration no longer allows are removed, which bounds
   * memory.
   */
  List<UpstreamSeen> validAnnouncements(long nowNs) {
    heard.keySet().removeIf(upstream -> configuration.upstream(upstream).isEmpty());
    List<UpstreamSeen> messages = new ArrayList<>(heard.size());
    for (Received entry : heard.values()) {
      if (!entry.isExpired(nowNs)) {
        messages.add(
            new UpstreamSeen(entry.announcement(), Millis.ofNanos(nowNs - entry.heardNs())));
      }
    }
    return messages;
  }

  private record Received(Announcement announcement, long heardNs) {

    boolean isExpired(long nowNs) {
      return nowNs - heardNs > Millis.toNanos(announcement.lifetimeMs());
    }
  }
}
