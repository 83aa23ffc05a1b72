package org.teaseltrail.cli;

import java.util.concurrent.TimeUnit;

/** Reads the clock and waits between attempts; tests put virtual time in its place. */
interface Pause {

  /** Uses the machine's clock. */
  Pause SLEEPING =
      new Pause() {
        @Override
        public long nowNs() {
          return System.nanoTime();
        }

        @Override
        public void pauseMs(long durationMs) {
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
   * Waits.
   *
   * @param durationMs how long, in milliseconds
   */
  void pauseMs(long durationMs);
}
