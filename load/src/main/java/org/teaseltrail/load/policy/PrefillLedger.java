package org.teaseltrail.load.policy;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.load.measure.RequestOutcome;
import org.teaseltrail.load.workload.EngineSpec;
import org.teaseltrail.load.workload.Prompt;

/**
 * Counts prompt processing and the part of it that was wasted. A prompt whose answer was discarded
 * counts as discarded only; of the others, each block that some engine had processed before counts
 * as repeated.
 *
 * <p>The bound on cache hits is one cache as large as all engines' together, which every request
 * reaches. No placement on real engines hits more under the same rule of dropping, for each engine
 * holds a part of what this one holds.
 */
final class PrefillLedger {

  private final BlockCache perfectCache;
  private final Map<UpstreamId, BlockCache> engineCaches = new HashMap<>();
  private final Set<Long> processedBefore = new HashSet<>();
  private final Map<PrefillWaste, Long> wastedTokens = new EnumMap<>(PrefillWaste.class);
  private long processedTokens;
  private long cachedTokens;
  private long perfectCachedTokens;

  PrefillLedger(List<EngineSpec> engines) {
    long poolTokens = engines.stream().mapToLong(EngineSpec::cacheTokens).sum();
    this.perfectCache = new BlockCache(poolTokens);
    engines.forEach(e -> engineCaches.put(e.id(), new BlockCache(e.cacheTokens())));
  }

  /**
   * Notes that an engine has processed a prompt.
   *
   * @param counted whether the request is in the measured part of the run
   * @return what it cost, to be booked once the request's outcome is known
   */
  Prefill processed(
      UpstreamId engine, List<Long> blocks, int cached, int processed, boolean counted) {
    long evicted = 0;
    long elsewhere = 0;
    int firstBlock = cached / Prompt.BLOCK_TOKENS;
    int endBlock = Math.min(blocks.size(), (cached + processed) / Prompt.BLOCK_TOKENS);
    for (long block : blocks.subList(Math.min(firstBlock, endBlock), endBlock)) {
      if (engineCaches.values().stream().anyMatch(c -> c.holds(block))) {
        elsewhere += Prompt.BLOCK_TOKENS;
      } else if (!processedBefore.add(block)) {
        evicted += Prompt.BLOCK_TOKENS;
      }
    }
    engineCaches.get(engine).use(blocks);
    long perfect = perfectCache.use(blocks);
    if (counted) {
      processedTokens += processed;
      cachedTokens += cached;
      perfectCachedTokens += perfect;
    }
    return new Prefill(processed, evicted, elsewhere, counted);
  }

  /** Notes that an engine has died, and its cache with it. */
  void crashed(UpstreamId engine) {
    engineCaches.get(engine).clear();
  }

  /** Books a prompt's waste by the request's outcome. */
  void ended(Prefill prefill, RequestOutcome outcome) {
    if (!prefill.counted()) {
      return;
    }
    switch (outcome) {
      case USEFUL -> {
        waste(PrefillWaste.REPEATED_EVICTED, prefill.evictedTokens());
        waste(PrefillWaste.REPEATED_ELSEWHERE, prefill.elsewhereTokens());
      }
      case HUNG_UP -> waste(PrefillWaste.DISCARDED_CANCEL, prefill.processedTokens());
      case FAILED -> waste(PrefillWaste.DISCARDED_FAILURE, prefill.processedTokens());
      default -> waste(PrefillWaste.DISCARDED_LATE, prefill.processedTokens());
    }
  }

  PrefillTally tally() {
    return new PrefillTally(
        processedTokens, cachedTokens, perfectCachedTokens, Map.copyOf(wastedTokens));
  }

  private void waste(PrefillWaste cause, long tokens) {
    if (tokens > 0) {
      wastedTokens.merge(cause, tokens, Long::sum);
    }
  }

  /** Is what one prompt's processing cost. */
  record Prefill(long processedTokens, long evictedTokens, long elsewhereTokens, boolean counted) {}
}
