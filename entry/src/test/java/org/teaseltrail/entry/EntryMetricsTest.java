package org.teaseltrail.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.teaseltrail.core.entry.EntryStatus;

class EntryMetricsTest {

  /**
   * Guards against gauges that read NaN minutes after the start, so that alerts on them never fire.
   * This happens if the registry holds the gauges' state objects only weakly and they are
   * garbage-collected.
   */
  @Test
  void gaugesSurviveGarbageCollection() {
    try (EntryMetrics metrics = new EntryMetrics()) {
      watch(metrics);

      System.gc();

      assertThat(metrics.scrape())
          .contains("teaseltrail_entry_waiting_requests{program=\"teaseltrail-entry\"} 7.0")
          .doesNotContain("NaN");
    }
  }

  private static void watch(EntryMetrics metrics) {
    EntryStatus status = new EntryStatus(7, 2, 13, 1, 2_500);
    metrics.registerGauges(() -> status, () -> 3);
  }
}
