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
 * Counts prompt tokens that engines process (prefill) and the part of them that is wasted. A prompt
 * whose response was discarded counts only as discarded; for other prompts, each block that some
 * engine had processed before counts as repeated.
 *
 * <p>The upper bound of cache hits is modelled by a single cache with the capacity of all engine
 * caches together, which every request can use. With the same eviction rule, no placement on real
 * engines achieves more hits, because each engine holds only a part of the content of this cache.
 */
final class PrefillWasteTracker {

  private final LruBlockCache idealCache;
  private final Map<UpstreamId, LruBlockCache> engineCaches = new HashMap<>();
  private final Set<Long> processedBefore = new HashSet<>();
  private final Map<PrefillWasteCause, Long> wastedTokens = new EnumMap<>(PrefillWasteCause.class);
  private long processedTokens;
  private long cachedTokens;
  private long perfectCachedTokens;

  PrefillWasteTracker(List<EngineSpec> engines) {
    long poolTokens = engines.stream().mapToLong(EngineSpec::cacheTokens).sum();
    this.idealCache = new LruBlockCache(poolTokens);
    engines.forEach(e -> engineCaches.put(e.id(), new LruBlockCache(e.cacheTokens())));
  }

  /**
   * Records that an engine has processed a prompt.
   *
   * @param counted whether the request arrived in the measurement interval
   * @return the cost of the prefill, to be passed to {@link #onRequestEnded} once the request's
   *     outcome is known
   */
  PrefillCost onProcessed(
      UpstreamId engine, List<Long> blocks, int cached, int processed, boolean counted) {
    long evicted = 0;
    long elsewhere = 0;
    int firstBlock = cached / Prompt.BLOCK_TOKENS;
    int endBlock = Math.min(blocks.size(), (cached + processed) / Prompt.BLOCK_TOKENS);
    for (long block : blocks.subList(Math.min(firstBlock, endBlock), endBlock)) {
      if (engineCaches.values().stream().anyMatch(c -> c.contains(block))) {
        elsewhere += Prompt.BLOCK_TOKENS;
      } else if (!processedBefore.add(block)) {
        evicted += Prompt.BLOCK_TOKENS;
      }
    }
    engineCaches.get(engine).lookUpAndStore(blocks);
    long idealCached = idealCache.lookUpAndStore(blocks);
    if (counted) {
      processedTokens += processed;
      cachedTokens += cached;
      perfectCachedTokens += idealCached;
    }
    return new PrefillCost(processed, evicted, elsewhere, counted);
  }

  /** Records that an engine has crashed and lost its cache. */
  void onEngineCrashed(UpstreamId engine) {
    engineCaches.get(engine).clear();
  }

  /** Attributes a prompt's wasted tokens according to the request's outcome. */
  void onRequestEnded(PrefillCost prefill, RequestOutcome outcome) {
    if (!prefill.counted()) {
      return;
    }
    switch (outcome) {
      case USEFUL -> {
        addWaste(PrefillWasteCause.REPEATED_EVICTED, prefill.evictedTokens());
        addWaste(PrefillWasteCause.REPEATED_ELSEWHERE, prefill.elsewhereTokens());
      }
      case HUNG_UP -> addWaste(PrefillWasteCause.DISCARDED_CANCEL, prefill.processedTokens());
      case FAILED -> addWaste(PrefillWasteCause.DISCARDED_FAILURE, prefill.processedTokens());
      default -> addWaste(PrefillWasteCause.DISCARDED_LATE, prefill.processedTokens());
    }
  }

  PrefillTotals prefillTotals() {
    return new PrefillTotals(
        processedTokens, cachedTokens, perfectCachedTokens, Map.copyOf(wastedTokens));
  }

  private void addWaste(PrefillWasteCause cause, long tokens) {
    if (tokens > 0) {
      wastedTokens.merge(cause, tokens, Long::sum);
    }
  }

  /** Prefill cost of one prompt, in tokens. */
  record PrefillCost(
      long processedTokens, long evictedTokens, long elsewhereTokens, boolean counted) {}
}
