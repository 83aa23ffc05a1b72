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

/** Holds the newest announcement of each upstream that this VM has heard. */
final class AnnouncementStore {

  private final AppliedConfiguration configuration;
  private final Map<UpstreamId, Heard> heard = new LinkedHashMap<>();

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
    return sameHash(allowed.get().secretHash(), secretHash)
        ? UpstreamVerdict.ACCEPTED
        : UpstreamVerdict.WRONG_SECRET;
  }

  private static boolean sameHash(String expected, String actual) {
    return MessageDigest.isEqual(
        expected.getBytes(StandardCharsets.US_ASCII), actual.getBytes(StandardCharsets.US_ASCII));
  }

  /**
   * Takes an announcement in, unless a later one of the same upstream is known.
   *
   * @return whether it is news, so that it is passed on
   */
  boolean storeIfNewer(Announcement announcement, long nowNs) {
    Heard known = heard.get(announcement.upstream());
    if (known != null && !isLater(announcement, known.announcement())) {
      return false;
    }
    heard.put(announcement.upstream(), new Heard(announcement, nowNs));
    return true;
  }

  private static boolean isLater(Announcement candidate, Announcement known) {
    int byLife = candidate.incarnation().compareTo(known.incarnation());
    return byLife > 0 || byLife == 0 && candidate.sequence() > known.sequence();
  }

  /**
   * Returns whether an upstream must not get new work from this VM.
   *
   * <p>Guards against a grant that crosses the upstream's own word that it leaves, or an operator's
   * drain, on the way: it shows as work cut off when the upstream exits. The VM's own knowledge is
   * asked right before the dispatch, so the grant's age doesn't matter.
   */
  boolean isLeaving(UpstreamId upstream, Incarnation granted) {
    if (configuration.upstream(upstream).map(AllowedUpstream::draining).orElse(true)) {
      return true;
    }
    Heard known = heard.get(upstream);
    if (known == null) {
      return false;
    }
    int life = known.announcement().incarnation().compareTo(granted);
    return life > 0 || life == 0 && known.announcement().phase() == UpstreamPhase.LEAVING;
  }

  /**
   * Returns what a new leader must be told: the announcements that are still good. Older ones stay
   * known here, since an upstream's word that it leaves holds for the rest of that life; only what
   * operators no longer allow is forgotten, so that memory is bounded.
   */
  List<UpstreamSeen> validAnnouncements(long nowNs) {
    heard.keySet().removeIf(upstream -> configuration.upstream(upstream).isEmpty());
    List<UpstreamSeen> messages = new ArrayList<>(heard.size());
    for (Heard entry : heard.values()) {
      if (!entry.isOver(nowNs)) {
        messages.add(
            new UpstreamSeen(entry.announcement(), Millis.ofNanos(nowNs - entry.heardNs())));
      }
    }
    return messages;
  }

  private record Heard(Announcement announcement, long heardNs) {

    boolean isOver(long nowNs) {
      return nowNs - heardNs > Millis.toNanos(announcement.lifetimeMs());
    }
  }
}
