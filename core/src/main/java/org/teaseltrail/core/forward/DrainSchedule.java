package org.teaseltrail.core.forward;

/**
 * The times of a planned stop, in milliseconds since the termination signal. All follow from the
 * grace period, so that a short one ends with answers too.
 *
 * @param lastRequestMs until when requests are taken
 * @param lastSendMs until when a request that waits may still be sent to an upstream or a peer
 * @param giveUpMs when all requests that are still open are given up
 * @param endMs when the process ends at the latest
 * @param minimumMs when it ends at the earliest
 */
public record DrainSchedule(
    long lastRequestMs, long lastSendMs, long giveUpMs, long endMs, long minimumMs) {

  /**
   * Retry-after of a request that another VM has to serve, in milliseconds. It is short because the
   * caller's next attempt goes to another VM.
   */
  public static final long RETRY_AFTER_MS = 20;

  /**
   * Time before the kill at which requests are given up: their answers must leave, and the process
   * must end, even if the processor is busy.
   */
  private static final long MAX_KILL_MARGIN_MS = 500;

  /** The same as a part of a short grace period. */
  private static final long KILL_MARGIN_PART = 8;

  /** Time after which the external platform, which asks once a second, no longer sends callers. */
  private static final long MAX_REQUESTS_MS = 2_500;

  /** The same as a part of the time until the requests are given up. */
  private static final long REQUESTS_PART = 3;

  /** Minimum time until the end; callers may be sent here for a little longer. */
  private static final long MAX_MINIMUM_MS = 3_200;

  /**
   * Creates the schedule of a stop.
   *
   * @param graceMs time between the termination signal and the kill, in milliseconds
   * @return the schedule
   */
  public static DrainSchedule of(long graceMs) {
    long marginMs = Math.min(MAX_KILL_MARGIN_MS, graceMs / KILL_MARGIN_PART);
    long giveUpMs = graceMs - marginMs;
    long lastRequestMs = Math.min(MAX_REQUESTS_MS, giveUpMs / REQUESTS_PART);
    // A request that gets a slot in the second half of the rest would mostly be cut short.
    long lastSendMs = lastRequestMs + (giveUpMs - lastRequestMs) / 2;
    return new DrainSchedule(
        lastRequestMs,
        lastSendMs,
        giveUpMs,
        graceMs - marginMs / 2,
        Math.min(MAX_MINIMUM_MS, giveUpMs));
  }

  /**
   * Returns the time after the signal at which a phase begins.
   *
   * @param phase a phase of a stop
   * @return the time, in milliseconds
   */
  long beginMs(DrainPhase phase) {
    return switch (phase) {
      case FINISHING -> 0;
      case REFUSING -> lastRequestMs;
      case NOT_SENDING -> lastSendMs;
      case GIVING_UP -> giveUpMs;
    };
  }
}
