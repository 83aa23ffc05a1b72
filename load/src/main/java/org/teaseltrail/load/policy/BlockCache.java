package org.teaseltrail.load.policy;

import java.util.LinkedHashMap;
import java.util.List;
import org.teaseltrail.load.workload.Prompt;

/** Holds prefix blocks up to a limit and drops the one used longest ago, as engines do. */
final class BlockCache {

  private final long capacityBlocks;
  private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(1024, 0.75f, true);

  BlockCache(long capacityTokens) {
    this.capacityBlocks = capacityTokens / Prompt.BLOCK_TOKENS;
  }

  /** Looks a prompt up, stores it, and returns how many of its tokens were there. */
  long use(List<Long> prompt) {
    int hits = 0;
    while (hits < prompt.size() && blocks.containsKey(prompt.get(hits))) {
      hits++;
    }
    // Later blocks go in first, so that a chain loses its end before its beginning.
    for (int i = prompt.size() - 1; i >= 0; i--) {
      blocks.putIfAbsent(prompt.get(i), true);
      blocks.get(prompt.get(i));
    }
    dropOverflow();
    return (long) hits * Prompt.BLOCK_TOKENS;
  }

  boolean holds(long block) {
    return blocks.containsKey(block);
  }

  void clear() {
    blocks.clear();
  }

  private void dropOverflow() {
    var oldest = blocks.entrySet().iterator();
    long excess = blocks.size() - capacityBlocks;
    for (long i = 0; i < excess; i++) {
      oldest.next();
      oldest.remove();
    }
  }
}
