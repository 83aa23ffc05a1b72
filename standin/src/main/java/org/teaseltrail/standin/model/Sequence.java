package org.teaseltrail.standin.model;

import org.teaseltrail.core.message.Usage;

/** Progress of one request through an engine. */
final class Sequence {

  private final EngineRequest request;
  private final int answerTokens;
  private int cachedTokens;
  private int processedTokens;
  private int outputTokens;
  private boolean cancelled;

  Sequence(EngineRequest request, int answerTokens) {
    this.request = request;
    this.answerTokens = answerTokens;
  }

  EngineRequest request() {
    return request;
  }

  /**
   * Starts the execution. At least one prompt token is always processed, as the first output token
   * is computed from it.
   */
  void startRunning(int cachedBlocks) {
    int inBlocks = cachedBlocks * HardwareProfile.BLOCK_TOKENS;
    cachedTokens = Math.min(inBlocks, request.promptTokens() - 1);
  }

  int remainingPrefillTokens() {
    return request.promptTokens() - cachedTokens - processedTokens;
  }

  /** Processes prompt tokens and caches the blocks that they complete. */
  void prefill(int tokens, PrefixCache cache) {
    int blocksBefore = completeBlocks();
    processedTokens += tokens;
    EngineInvariant.PREFILL_COUNTED_ONCE.check(remainingPrefillTokens() >= 0);
    if (completeBlocks() > blocksBefore) {
      cache.store(request.prefixBlocks(), blocksBefore, completeBlocks());
    }
  }

  void generateToken() {
    EngineInvariant.PREFILL_COUNTED_ONCE.check(
        cachedTokens + processedTokens == request.promptTokens());
    outputTokens++;
  }

  void cancel() {
    cancelled = true;
  }

  boolean isCancelled() {
    return cancelled;
  }

  boolean isDone() {
    return outputTokens >= answerTokens;
  }

  int outputTokens() {
    return outputTokens;
  }

  int cachedTokens() {
    return cachedTokens;
  }

  int processedTokens() {
    return processedTokens;
  }

  Usage usage() {
    return new Usage(request.promptTokens(), cachedTokens, outputTokens);
  }

  int completeBlocks() {
    int blocks = (cachedTokens + processedTokens) / HardwareProfile.BLOCK_TOKENS;
    return Math.min(blocks, request.prefixBlocks().size());
  }
}
