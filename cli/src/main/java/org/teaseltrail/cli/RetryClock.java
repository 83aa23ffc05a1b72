package org.teaseltrail.cli;

import java.util.concurrent.TimeUnit;

/** Monotonic clock that can also sleep between attempts; tests replace it by virtual time. */
interface RetryClock {

  /** Uses the clock of this machine. */
  RetryClock SYSTEM =
      new RetryClock() {
        @Override
        public long nowNs() {
          return System.nanoTime();
        }

        @Override
        public void sleepMs(long durationMs) {
          try {
            TimeUnit.MILLISECONDS.sleep(durationMs);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        }
      };

  /** Returns a monotonic reading in nanoseconds. */
  long nowNs();

  /**
   * Sleeps.
   *
   * @param durationMs the duration, in milliseconds
   */
  void sleepMs(long durationMs);
}
