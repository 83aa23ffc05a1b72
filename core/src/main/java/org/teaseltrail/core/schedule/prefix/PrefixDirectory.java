package org.teaseltrail.core.schedule.prefix;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A directory from prefix blocks to the engines that hold them, which finds the engines with the
 * longest prefix of a prompt without a search in each engine's cache model. It keeps the last few
 * holders of each block. A holder may have evicted the block since; its cache model determines
 * that.
 *
 * @param <H> the type of a holder
 */
public final class PrefixDirectory<H> {

  /** Number of holders kept per block, enough to select among them by load. */
  private static final int MAX_HOLDERS = 4;

  private final LinkedHashMap<Long, List<H>> holders;

  /** Creates an empty directory with a maximum number of blocks; evicts the least recently used. */
  public PrefixDirectory(int maxBlocks) {
    this.holders =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, List<H>> eldest) {
            return size() > maxBlocks;
          }
        };
  }

  /** Records that an engine holds the blocks from now on. */
  public void add(List<Long> blocks, H holder) {
    for (Long block : blocks) {
      addOne(block, holder);
    }
  }

  private void addOne(Long block, H holder) {
    List<H> known = holders.computeIfAbsent(block, b -> new ArrayList<>(1));
    if (!known.isEmpty() && known.get(0) == holder) {
      return;
    }
    known.remove(holder);
    known.add(0, holder);
    if (known.size() > MAX_HOLDERS) {
      known.remove(MAX_HOLDERS);
    }
  }

  /** Returns the number of blocks in the directory. */
  public int size() {
    return holders.size();
  }

  /**
   * Returns the engines recorded for the longest known prefix of a prompt.
   *
   * @param blocks the hash chain of the prompt; a block is in the directory only together with
   *     those before it
   */
  public List<H> holdersOf(List<Long> blocks) {
    int known = knownBlocks(blocks);
    return known == 0 ? List.of() : holders.get(blocks.get(known - 1));
  }

  private int knownBlocks(List<Long> blocks) {
    int low = 0;
    int high = blocks.size();
    while (low < high) {
      int middle = (low + high + 1) >>> 1;
      if (holders.containsKey(blocks.get(middle - 1))) {
        low = middle;
      } else {
        high = middle - 1;
      }
    }
    return low;
  }
}
