package org.teaseltrail.core.schedule.fleet;

import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.Usage;

/** Derives samples of an engine's speed and prefix cache from the messages about an answer. */
final class SpeedSampler {

  /** Minimum number of tokens between two messages from which a time per token is derived. */
  private static final int MIN_TOKENS = 4;

  private static final double NS_PER_MS = 1e6;

  private SpeedSampler() {}

  /** Records the time per token since the previous message about the answer. */
  static void sampleProgress(InFlightRequest part, int outputTokens, long nowNs) {
    int tokens = outputTokens - part.outputTokens();
    double elapsedMs = (nowNs - part.progressNs()) / NS_PER_MS;
    if (part.progressNs() > 0 && tokens >= MIN_TOKENS && elapsedMs > 0) {
      boolean noLongPrefill =
          part.upstream().inFlightTracker().hasNoLongPrefillSince(part.progressNs());
      part.upstream().recordTokenTime(elapsedMs / tokens, noLongPrefill, nowNs);
    }
  }

  /** Records the samples that a completed answer yields. */
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
