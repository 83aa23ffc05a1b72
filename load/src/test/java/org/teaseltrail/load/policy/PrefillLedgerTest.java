package org.teaseltrail.load.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.load.measure.RequestOutcome;
import org.teaseltrail.load.workload.EngineSpec;

class PrefillLedgerTest {

  private static final UpstreamId ONE = new UpstreamId("one");
  private static final UpstreamId TWO = new UpstreamId("two");

  private final PrefillLedger ledger = new PrefillLedger(List.of(engine(ONE), engine(TWO)));

  @Test
  void firstProcessingIsNoWaste() {
    process(ONE, List.of(1L, 2L), 0, RequestOutcome.USEFUL);

    assertThat(ledger.tally().wastedFraction()).isZero();
  }

  @Test
  void prefixProcessedAgainIsWastedByItsCause() {
    process(ONE, List.of(1L, 2L), 0, RequestOutcome.USEFUL);
    process(TWO, List.of(1L, 2L), 0, RequestOutcome.USEFUL);
    ledger.crashed(ONE);
    ledger.crashed(TWO);
    process(ONE, List.of(1L, 2L), 0, RequestOutcome.USEFUL);
    process(ONE, List.of(1L, 2L), 256, RequestOutcome.USEFUL);

    PrefillTally tally = ledger.tally();
    assertThat(tally.wastedTokens())
        .containsEntry(PrefillWaste.REPEATED_ELSEWHERE, 512L + 256L)
        .containsEntry(PrefillWaste.REPEATED_EVICTED, 512L);
    assertThat(tally.hitsOfPerfect()).isCloseTo(256.0 / (3 * 512), within(1e-9));
  }

  @Test
  void discardedPromptIsWastedOnce() {
    process(ONE, List.of(1L, 2L), 0, RequestOutcome.USEFUL);
    process(TWO, List.of(1L, 2L), 0, RequestOutcome.HUNG_UP);

    assertThat(ledger.tally().wastedTokens())
        .containsOnlyKeys(PrefillWaste.DISCARDED_CANCEL)
        .containsEntry(PrefillWaste.DISCARDED_CANCEL, 512L);
  }

  @Test
  void cacheDropsTheEndOfTheChainUsedLongestAgo() {
    BlockCache cache = new BlockCache(3 * 256);
    cache.use(List.of(1L, 2L));
    cache.use(List.of(3L, 4L));

    assertThat(cache.use(List.of(1L, 2L))).isEqualTo(256);
  }

  private static EngineSpec engine(UpstreamId id) {
    return new EngineSpec(id, new DataCenterId("here"), 4, 0.1, 0.06, 8, 10_000);
  }

  private void process(UpstreamId engine, List<Long> blocks, int cached, RequestOutcome outcome) {
    int processed = blocks.size() * 256 - cached;
    ledger.ended(ledger.processed(engine, blocks, cached, processed, true), outcome);
  }
}
