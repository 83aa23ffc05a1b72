package org.teaseltrail.core.schedule.fleet;

import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.Usage;

/** Reads samples of an engine's speed and cache off the messages about an answer. */
final class SpeedSampler {

  /** Fewest tokens between two readings from which a time per token is read. */
  private static final int MIN_TOKENS = 4;

  private static final double NS_PER_MS = 1e6;

  private SpeedSampler() {}

  /** Reads the time per token since the reading before. */
  static void sampleProgress(InFlightRequest part, int outputTokens, long nowNs) {
    int tokens = outputTokens - part.outputTokens();
    double elapsedMs = (nowNs - part.progressNs()) / NS_PER_MS;
    if (part.progressNs() > 0 && tokens >= MIN_TOKENS && elapsedMs > 0) {
      boolean quiet = part.upstream().inFlightTracker().hasNoLongPrefillSince(part.progressNs());
      part.upstream().recordTokenTime(elapsedMs / tokens, quiet, nowNs);
    }
  }

  /** Reads what the end of a whole answer tells. */
  static void completed(InFlightRequest part, EntryMessage.Ended ended, long nowNs) {
    TrackedUpstream upstream = part.upstream();
    Usage usage = ended.usage();
    sampleProgress(part, usage.outputTokens(), nowNs);
    upstream.speed().recordServiceTime(ended.sinceDispatchMs());
    upstream.cache().observe(part.cachedTokens(), usage.cachedTokens());
    if (part.firstTokenMs() > 0) {
      double processed = part.prefillAheadTokens() + usage.promptTokens() - usage.cachedTokens();
      upstream.speed().prefill(processed, part.firstTokenMs());
    }
  }
}
