package org.teaseltrail.load.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.load.measure.RequestOutcome;
import org.teaseltrail.load.workload.EngineSpec;

class PrefillWasteTrackerTest {

  private static final UpstreamId ONE = new UpstreamId("one");
  private static final UpstreamId TWO = new UpstreamId("two");

  private final PrefillWasteTracker ledger =
      new PrefillWasteTracker(List.of(engine(ONE), engine(TWO)));

  @Test
  void firstProcessingIsNotWasted() {
    process(ONE, List.of(1L, 2L), 0, RequestOutcome.USEFUL);

    assertThat(ledger.prefillTotals().wastedFraction()).isZero();
  }

  @Test
  void repeatedPrefillIsCountedByCause() {
    process(ONE, List.of(1L, 2L), 0, RequestOutcome.USEFUL);
    process(TWO, List.of(1L, 2L), 0, RequestOutcome.USEFUL);
    ledger.onEngineCrashed(ONE);
    ledger.onEngineCrashed(TWO);
    process(ONE, List.of(1L, 2L), 0, RequestOutcome.USEFUL);
    process(ONE, List.of(1L, 2L), 256, RequestOutcome.USEFUL);

    PrefillTotals tally = ledger.prefillTotals();
    assertThat(tally.wastedTokens())
        .containsEntry(PrefillWasteCause.REPEATED_ELSEWHERE, 512L + 256L)
        .containsEntry(PrefillWasteCause.REPEATED_EVICTED, 512L);
    assertThat(tally.hitRatioToIdeal()).isCloseTo(256.0 / (3 * 512), within(1e-9));
  }

  @Test
  void discardedPromptCountsAsWastedOnce() {
    process(ONE, List.of(1L, 2L), 0, RequestOutcome.USEFUL);
    process(TWO, List.of(1L, 2L), 0, RequestOutcome.HUNG_UP);

    assertThat(ledger.prefillTotals().wastedTokens())
        .containsOnlyKeys(PrefillWasteCause.DISCARDED_CANCEL)
        .containsEntry(PrefillWasteCause.DISCARDED_CANCEL, 512L);
  }

  @Test
  void cacheEvictsTailOfLeastRecentlyUsedChain() {
    LruBlockCache cache = new LruBlockCache(3 * 256);
    cache.lookUpAndStore(List.of(1L, 2L));
    cache.lookUpAndStore(List.of(3L, 4L));

    assertThat(cache.lookUpAndStore(List.of(1L, 2L))).isEqualTo(256);
  }

  private static EngineSpec engine(UpstreamId id) {
    return new EngineSpec(id, new DataCenterId("here"), 4, 0.1, 0.06, 8, 10_000);
  }

  private void process(UpstreamId engine, List<Long> blocks, int cached, RequestOutcome outcome) {
    int processed = blocks.size() * 256 - cached;
    ledger.onRequestEnded(ledger.onProcessed(engine, blocks, cached, processed, true), outcome);
  }
}
