package org.teaseltrail.load.policy;

import java.util.LinkedHashMap;
import java.util.List;
import org.teaseltrail.load.workload.Prompt;

/** LRU cache of prefix blocks with a fixed capacity, which models the prefix cache of an engine. */
final class LruBlockCache {

  private final long capacityBlocks;
  private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(1024, 0.75f, true);

  LruBlockCache(long capacityTokens) {
    this.capacityBlocks = capacityTokens / Prompt.BLOCK_TOKENS;
  }

  /**
   * Looks up the blocks of a prompt, stores them and returns the number of prompt tokens found in
   * the cache.
   */
  long lookUpAndStore(List<Long> prompt) {
    int hits = 0;
    while (hits < prompt.size() && blocks.containsKey(prompt.get(hits))) {
      hits++;
    }
    // Stores the last block first, so that a chain is evicted from its end.
    for (int i = prompt.size() - 1; i >= 0; i--) {
      blocks.putIfAbsent(prompt.get(i), true);
      blocks.get(prompt.get(i));
    }
    evictExcess();
    return (long) hits * Prompt.BLOCK_TOKENS;
  }

  boolean contains(long block) {
    return blocks.containsKey(block);
  }

  void clear() {
    blocks.clear();
  }

  private void evictExcess() {
    var oldest = blocks.entrySet().iterator();
    long excess = blocks.size() - capacityBlocks;
    for (long i = 0; i < excess; i++) {
      oldest.next();
      oldest.remove();
    }
  }
}
