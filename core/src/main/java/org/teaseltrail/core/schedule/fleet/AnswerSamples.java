package org.teaseltrail.core.schedule.fleet;

import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.Usage;

/** Reads samples of an engine's speed and cache off the messages about an answer. */
final class AnswerSamples {

  /** Fewest tokens between two readings from which a time per token is read. */
  private static final int MIN_TOKENS = 4;

  /** Least part of the time that is taken to have gone into generating. */
  private static final double LEAST_DECODING = 0.1;

  private static final double US_PER_MS = 1_000;
  private static final double NS_PER_MS = 1e6;

  private AnswerSamples() {}

  /** Reads the time per token since the reading before. */
  static void progress(InFlight part, int outputTokens, long nowNs) {
    int tokens = outputTokens - part.outputTokens();
    double elapsedMs = (nowNs - part.progressNs()) / NS_PER_MS;
    if (part.progressNs() > 0 && tokens >= MIN_TOKENS && elapsedMs > 0) {
      UpstreamAccount upstream = part.upstream();
      long prefilled = upstream.work().prefilledTokens() - part.prefilledBefore();
      double stepMs = stepMs(upstream, elapsedMs, tokens, prefilled);
      upstream.tokenSample(elapsedMs / tokens, stepMs, nowNs);
    }
  }

  /**
   * Takes out of the time per token what the engine spent on other prompts meanwhile, at the speed
   * of an ordinary engine. Without this, an engine that happens to process long prompts looks like
   * a straggler, and like one that is crowded.
   */
  private static double stepMs(
      UpstreamAccount upstream, double elapsedMs, int tokens, long prefilled) {
    double prefillMs = prefilled * upstream.ordinary().prefillUs() / US_PER_MS;
    return Math.max(elapsedMs * LEAST_DECODING, elapsedMs - prefillMs) / tokens;
  }

  /** Reads what the end of a whole answer tells. */
  static void completed(InFlight part, EntryMessage.Ended ended, long nowNs) {
    UpstreamAccount upstream = part.upstream();
    Usage usage = ended.usage();
    progress(part, usage.outputTokens(), nowNs);
    upstream.speed().span(ended.sinceDispatchMs());
    upstream.cache().observe(part.cachedTokens(), usage.cachedTokens());
    if (part.firstTokenMs() > 0) {
      double processed = part.prefillAheadTokens() + usage.promptTokens() - usage.cachedTokens();
      upstream.speed().prefill(processed, part.firstTokenMs());
    }
  }
}
