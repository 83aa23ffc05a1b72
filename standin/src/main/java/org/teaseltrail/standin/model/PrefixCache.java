package org.teaseltrail.standin.model;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * LRU cache of prefix blocks with a limited size. The last block of a chain is evicted first, since
 * a block is unusable without its predecessors. Changes are recorded until they are taken; a block
 * that was stored and evicted in between counts as removed.
 */
final class PrefixCache {

  private static final float LOAD_FACTOR = 0.75f;

  private final int maxBlocks;
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, LOAD_FACTOR, true);
  private final Set<Long> stored = new LinkedHashSet<>();
  private final Set<Long> removed = new LinkedHashSet<>();

  PrefixCache(int maxBlocks) {
    this.maxBlocks = maxBlocks;
  }

  /** Returns the length of the longest cached prefix of a chain, and marks its blocks as used. */
  int match(List<Long> chain) {
    int held = 0;
    while (held < chain.size() && blocks.containsKey(chain.get(held))) {
      held++;
    }
    touch(chain, held);
    return held;
  }

  /** Stores blocks of a chain, and marks them and all earlier ones as used. */
  void store(List<Long> chain, int fromBlock, int endBlock) {
    for (int i = fromBlock; i < endBlock; i++) {
      if (blocks.put(chain.get(i), Boolean.TRUE) == null) {
        stored.add(chain.get(i));
        removed.remove(chain.get(i));
      }
    }
    touch(chain, endBlock);
    evictOldest();
    EngineInvariant.CACHE_WITHIN_LIMIT.check(blocks.size() <= maxBlocks);
  }

  double usedFraction() {
    return maxBlocks == 0 ? 0 : (double) blocks.size() / maxBlocks;
  }

  int size() {
    return blocks.size();
  }

  boolean hasChanges() {
    return !stored.isEmpty() || !removed.isEmpty();
  }

  /**
   * Returns the blocks stored since the last call. Must be called together with {@link
   * #drainRemoved}, so that both cover the same period.
   */
  List<Long> drainStored() {
    List<Long> taken = List.copyOf(stored);
    stored.clear();
    return taken;
  }

  List<Long> drainRemoved() {
    List<Long> taken = List.copyOf(removed);
    removed.clear();
    return taken;
  }

  void clear() {
    blocks.clear();
    stored.clear();
    removed.clear();
  }

  private void touch(List<Long> chain, int count) {
    for (int i = count - 1; i >= 0; i--) {
      blocks.get(chain.get(i));
    }
  }

  private void evictOldest() {
    var oldest = blocks.keySet().iterator();
    while (blocks.size() > maxBlocks) {
      long evicted = oldest.next();
      oldest.remove();
      stored.remove(evicted);
      removed.add(evicted);
    }
  }
}
