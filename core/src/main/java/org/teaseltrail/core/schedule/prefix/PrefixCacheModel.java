package org.teaseltrail.core.schedule.prefix;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import org.teaseltrail.core.upstream.CacheEvent;

/**
 * Models the prefix cache of one life of an engine: least recently used blocks go first, as the
 * engines do it. It follows the scheduler's own dispatches and is corrected by cache events and by
 * what ended requests say was cached.
 */
public final class PrefixCacheModel {

  /** Tokens in one block; the contract with the entry VMs. */
  public static final int BLOCK_TOKENS = 256;

  /** Most blocks modelled for one engine; bounds the scheduler's memory at many engines. */
  public static final int MAX_BLOCKS = 4_096;

  /** Part of the trust that a gap in the events leaves. */
  private static final double CONFIDENCE_AFTER_GAP = 0.9;

  /** Weight of the newest ended request in the trust. */
  private static final double CONFIDENCE_GAIN = 0.1;

  private static final double MIN_CONFIDENCE = 0.05;

  private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private int capacityBlocks;
  private long lastSequence = -1;
  private double confidence = 1;

  /** Sets how many tokens the engine's cache holds; zero if it has none. */
  public void setCapacity(long cacheTokens) {
    capacityBlocks = (int) Math.min(MAX_BLOCKS, cacheTokens / BLOCK_TOKENS);
    dropOverflow();
  }

  /** Returns how far the model is believed, from zero to one. */
  public double confidence() {
    return confidence;
  }

  /** Returns how many blocks are believed to be cached. */
  public int size() {
    return blocks.size();
  }

  /** Returns whether a block is believed to be cached. */
  public boolean contains(long block) {
    return blocks.containsKey(block);
  }

  /**
   * Returns how many tokens of a prompt are believed to be cached, weighed by the trust.
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

  /** Notes that a prompt goes to the engine, which will hold its blocks from then on. */
  public void recordPrompt(List<Long> prompt) {
    // The first block goes in last: a chain without its beginning is of no use, and engines drop
    // the end of a chain before its beginning.
    for (int i = prompt.size() - 1; i >= 0; i--) {
      blocks.put(prompt.get(i), Boolean.TRUE);
    }
    dropOverflow();
  }

  /**
   * Takes an event of the engine. A gap in the sequence means that some were lost, so the model is
   * trusted less; an event older than one already taken changes nothing.
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
   * Learns from an ended request how far the model was right.
   *
   * @param expectedTokens tokens that were expected to be cached
   * @param cachedTokens tokens that were cached
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
