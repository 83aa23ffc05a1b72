package org.teaseltrail.standin.model;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds prefix blocks up to a limit and drops those least recently used. Of one chain the last
 * block is dropped first, since a block is of no use without those before it. Notes what has
 * changed since it was last asked; a block that came and went in between counts as removed.
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

  /** Returns how many blocks from the start of a chain it holds, and marks them as used. */
  int match(List<Long> chain) {
    int held = 0;
    while (held < chain.size() && blocks.containsKey(chain.get(held))) {
      held++;
    }
    touch(chain, held);
    return held;
  }

  /** Stores blocks of a chain and marks all before them as used. */
  void store(List<Long> chain, int fromBlock, int endBlock) {
    for (int i = fromBlock; i < endBlock; i++) {
      if (blocks.put(chain.get(i), Boolean.TRUE) == null) {
        stored.add(chain.get(i));
        removed.remove(chain.get(i));
      }
    }
    touch(chain, endBlock);
    dropOldest();
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

  /** Returns what was stored since the last call; to be called together with the other. */
  List<Long> takeStored() {
    List<Long> taken = List.copyOf(stored);
    stored.clear();
    return taken;
  }

  List<Long> takeRemoved() {
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

  private void dropOldest() {
    var oldest = blocks.keySet().iterator();
    while (blocks.size() > maxBlocks) {
      long dropped = oldest.next();
      oldest.remove();
      stored.remove(dropped);
      removed.add(dropped);
    }
  }
}
