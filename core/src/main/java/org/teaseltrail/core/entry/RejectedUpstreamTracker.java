package org.teaseltrail.core.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Remembers why announcements were turned away, so that the log tells of each upstream only when
 * the reason changes.
 *
 * <p>Guards against a log that fills up: an upstream that isn't allowed announces itself every
 * second to every VM. Names come from callers that hold no secret, so only a bounded number is
 * kept; the oldest is forgotten, and told of again.
 */
final class RejectedUpstreamTracker {

  /** About as many servers as the two-year size has. */
  static final int MAX_UPSTREAMS = 1_000;

  private final Map<UpstreamId, UpstreamVerdict> verdicts =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<UpstreamId, UpstreamVerdict> eldest) {
          return size() > MAX_UPSTREAMS;
        }
      };

  /** Notes a verdict and returns whether the upstream was turned away for another reason before. */
  boolean isNewRejection(UpstreamId upstream, UpstreamVerdict verdict) {
    if (verdict == UpstreamVerdict.ACCEPTED) {
      verdicts.remove(upstream);
      return false;
    }
    return verdicts.put(upstream, verdict) != verdict;
  }
}
