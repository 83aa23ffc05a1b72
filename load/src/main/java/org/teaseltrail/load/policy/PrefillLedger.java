package org.teaseltrail.load.policy;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.load.measure.RequestOutcome;
import org.teaseltrail.load.workload.Prompt;

/**
 * Counts prompt processing and the part of it that was wasted. A prompt whose answer was discarded
 * counts as discarded only; of the others, each block that some engine had processed before counts
 * as repeated.
 */
final class PrefillLedger {

  private final PerfectCache perfectCache;
  private final Set<Long> processedAnywhere = new HashSet<>();
  private final Map<UpstreamId, Set<Long>> processedBy = new HashMap<>();
  private final Map<PrefillWaste, Long> wastedTokens = new EnumMap<>(PrefillWaste.class);
  private long processedTokens;
  private long cachedTokens;
  private long perfectCachedTokens;

  PrefillLedger(long poolCacheTokens) {
    this.perfectCache = new PerfectCache(poolCacheTokens);
  }

  /**
   * Notes that an engine has processed a prompt.
   *
   * @param counted whether the request is in the measured part of the run
   * @return repeated tokens by cause, to be booked once the request's outcome is known
   */
  Prefill processed(
      UpstreamId engine, List<Long> blocks, int cached, int processed, boolean counted) {
    Set<Long> own = processedBy.computeIfAbsent(engine, e -> new HashSet<>());
    long evicted = 0;
    long elsewhere = 0;
    int firstBlock = cached / Prompt.BLOCK_TOKENS;
    int endBlock = Math.min(blocks.size(), (cached + processed) / Prompt.BLOCK_TOKENS);
    for (long block : blocks.subList(Math.min(firstBlock, endBlock), endBlock)) {
      if (own.contains(block)) {
        evicted += Prompt.BLOCK_TOKENS;
      } else if (processedAnywhere.contains(block)) {
        elsewhere += Prompt.BLOCK_TOKENS;
      }
      own.add(block);
      processedAnywhere.add(block);
    }
    long perfect = perfectCache.use(blocks);
    if (counted) {
      processedTokens += processed;
      cachedTokens += cached;
      perfectCachedTokens += perfect;
    }
    return new Prefill(processed, evicted, elsewhere, counted);
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
