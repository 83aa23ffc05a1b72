package org.teaseltrail.core.schedule.prefix;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import org.teaseltrail.core.upstream.CacheEvent;

/**
 * A model of the prefix cache of one incarnation of an engine, with the eviction of the least
 * recently used blocks that the engines apply. It follows the scheduler's grants and is corrected
 * by cache events and by the cached tokens that ended requests report.
 */
public final class PrefixCacheModel {

  /** Number of tokens in a block, as agreed with the entry VMs, which compute a hash per block. */
  public static final int BLOCK_TOKENS = 256;

  /** Maximum number of blocks per engine; bounds the scheduler's memory with many engines. */
  public static final int MAX_BLOCKS = 4_096;

  /** Factor on the confidence after a gap in the sequence of events. */
  private static final double CONFIDENCE_AFTER_GAP = 0.9;

  /** Weight of the newest ended request in the confidence. */
  private static final double CONFIDENCE_GAIN = 0.1;

  private static final double MIN_CONFIDENCE = 0.05;

  private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private int capacityBlocks;
  private long lastSequence = -1;
  private double confidence = 1;

  /** Sets the capacity of the engine's cache in tokens; zero if it has none. */
  public void setCapacity(long cacheTokens) {
    capacityBlocks = (int) Math.min(MAX_BLOCKS, cacheTokens / BLOCK_TOKENS);
    dropOverflow();
  }

  /** Returns the confidence in the model, from zero to one. */
  public double confidence() {
    return confidence;
  }

  /** Returns how many blocks are expected to be cached. */
  public int size() {
    return blocks.size();
  }

  /** Returns whether a block is expected to be cached. */
  public boolean contains(long block) {
    return blocks.containsKey(block);
  }

  /**
   * Returns how many tokens of a prompt are expected to be cached, multiplied by the confidence.
   *
   * @param prompt the hash chain of the prompt's blocks
   * @param promptTokens length of the prompt; at least one token is always processed
   */
  public int cachedTokens(List<Long> prompt, int promptTokens) {
    int hits = 0;
    while (hits < prompt.size() && blocks.containsKey(prompt.get(hits))) {
      hits++;
    }
    int tokens = (int) (hits * BLOCK_TOKENS * confidence);
    return Math.max(0, Math.min(tokens, promptTokens - 1));
  }

  /** Records that a prompt is sent to the engine, which caches its blocks from then on. */
  public void recordPrompt(List<Long> prompt) {
    // The first block is inserted last, so that it is evicted last: a chain is unusable without its
    // beginning, and engines evict the end of a chain before its beginning.
    for (int i = prompt.size() - 1; i >= 0; i--) {
      blocks.put(prompt.get(i), Boolean.TRUE);
    }
    dropOverflow();
  }

  /**
   * Applies an event of the engine. A gap in the sequence means that events were lost, which lowers
   * the confidence. An event older than the last applied one is ignored.
   */
  public void apply(CacheEvent event) {
    if (event.sequence() <= lastSequence) {
      return;
    }
    if (lastSequence >= 0 && event.sequence() > lastSequence + 1) {
      confidence = Math.max(MIN_CONFIDENCE, confidence * CONFIDENCE_AFTER_GAP);
    }
    lastSequence = event.sequence();
    event.removedBlocks().forEach(blocks::remove);
    event.storedBlocks().forEach(block -> blocks.put(block, Boolean.TRUE));
    dropOverflow();
  }

  /**
   * Updates the confidence by comparing the model with an ended request.
   *
   * @param expectedTokens the number of tokens that were expected to be cached
   * @param cachedTokens the number of tokens that were cached
   */
  public void observe(int expectedTokens, int cachedTokens) {
    if (expectedTokens < BLOCK_TOKENS) {
      return;
    }
    double modelled = expectedTokens / confidence;
    double right = Math.min(1, cachedTokens / modelled);
    confidence = Math.max(MIN_CONFIDENCE, confidence + CONFIDENCE_GAIN * (right - confidence));
  }

  private void dropOverflow() {
    Iterator<Long> oldest = blocks.keySet().iterator();
    for (int excess = blocks.size() - capacityBlocks; excess > 0; excess--) {
      oldest.next();
      oldest.remove();
    }
  }
}
