package org.teaseltrail.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.teaseltrail.runtime.clock.SuspendAwareClock;

/** Tests that elapsed time includes suspension and ignores steps back of the wall clock. */
class SuspendAwareClockTest {

  private static final long MS = 1_000_000L;

  private long monotonicNs = 5;
  private long wallClockMs = 1_000_000;
  private final SuspendAwareClock clock =
      new SuspendAwareClock(() -> monotonicNs, () -> wallClockMs);

  private void advance(long ms) {
    monotonicNs += ms * MS;
    wallClockMs += ms;
  }

  /**
   * A machine is suspended for 4 s. The monotonic clock stops meanwhile, so a lease of 3 s would
   * look valid after the resume, although another member may be the leader by then.
   */
  @Test
  void countsSuspension() {
    advance(100);
    wallClockMs += 4_000;
    assertThat(clock.nowNs()).isGreaterThanOrEqualTo(4_000 * MS);
  }

  @Test
  void continuesWhenWallClockIsSetBack() {
    advance(100);
    clock.nowNs();
    wallClockMs -= 2_000;
    advance(50);
    assertThat(clock.nowNs()).isEqualTo(150 * MS);
  }

  /**
   * The wall clock has a resolution of one millisecond; the rounding errors of many readings must
   * not accumulate.
   */
  @Test
  void roundingErrorsDoNotAccumulate() {
    for (int i = 0; i < 10_000; i++) {
      monotonicNs += MS / 10;
      wallClockMs += i % 10 == 9 ? 1 : 0;
      clock.nowNs();
    }
    assertThat(clock.nowNs()).isEqualTo(1_000 * MS);
  }
}
