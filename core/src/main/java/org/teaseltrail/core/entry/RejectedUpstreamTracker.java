package org.teaseltrail.core.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Tracks the reasons for which upstreams' announcements are rejected, so that a rejection is logged
 * only when its reason changes.
 *
 * <p>An upstream that isn't allowed announces itself every second to every VM, which would
 * otherwise fill the log. Since the names come from callers without a valid secret, only a limited
 * number is kept; after the oldest one is removed, its rejection is logged again.
 */
final class RejectedUpstreamTracker {

  /**
   * Maximum number of tracked upstreams, about the number of servers in the largest planned
   * deployment.
   */
  static final int MAX_UPSTREAMS = 1_000;

  private final Map<UpstreamId, UpstreamVerdict> verdicts =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<UpstreamId, UpstreamVerdict> eldest) {
          return size() > MAX_UPSTREAMS;
        }
      };

  /**
   * Records a verdict, and returns whether it is a rejection that differs from the previous
   * verdict.
   */
  boolean isNewRejection(UpstreamId upstream, UpstreamVerdict verdict) {
    if (verdict == UpstreamVerdict.ACCEPTED) {
      verdicts.remove(upstream);
      return false;
    }
    return verdicts.put(upstream, verdict) != verdict;
  }
}
