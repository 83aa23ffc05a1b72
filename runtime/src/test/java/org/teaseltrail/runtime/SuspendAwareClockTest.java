package org.teaseltrail.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.teaseltrail.runtime.clock.SuspendAwareClock;

/** Counts the time of a suspended machine. */
class SuspendAwareClockTest {

  private static final long MS = 1_000_000L;

  private long steadyNs = 5;
  private long dayMs = 1_000_000;
  private final SuspendAwareClock clock = new SuspendAwareClock(() -> steadyNs, () -> dayMs);

  private void pass(long ms) {
    steadyNs += ms * MS;
    dayMs += ms;
  }

  /**
   * A machine is suspended for 4 s. Its steady clock stands still, so a lease of 3 s would look
   * fresh when it wakes, though another member leads by then.
   */
  @Test
  void countsSuspension() {
    pass(100);
    dayMs += 4_000;
    assertThat(clock.nowNs()).isGreaterThanOrEqualTo(4_000 * MS);
  }

  @Test
  void goesOnWhenTheTimeOfDayIsSetBack() {
    pass(100);
    clock.nowNs();
    dayMs -= 2_000;
    pass(50);
    assertThat(clock.nowNs()).isEqualTo(150 * MS);
  }

  /** The time of day comes in whole milliseconds; many readings must not add their rounding up. */
  @Test
  void roundingDoesNotAddUp() {
    for (int i = 0; i < 10_000; i++) {
      steadyNs += MS / 10;
      dayMs += i % 10 == 9 ? 1 : 0;
      clock.nowNs();
    }
    assertThat(clock.nowNs()).isEqualTo(1_000 * MS);
  }
}
