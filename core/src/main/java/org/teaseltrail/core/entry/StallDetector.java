package org.teaseltrail.core.entry;

/**
 * Detects that this VM was stalled, and bounds the age of messages that it reads afterwards.
 *
 * <p>A VM that resumes after a pause first reads messages which its sockets buffered during the
 * pause. An old announcement must not be taken for a current one: if its upstream has announced to
 * another VM in the meantime that it is leaving, a new leader that receives the old announcement
 * first would assign work to an upstream that has left. Messages that are read within the catch-up
 * time are therefore treated as received when the stall began.
 */
final class StallDetector {

  /**
   * Time without any event that counts as a stall. It exceeds the interval of hellos, which an idle
   * VM sends as well.
   */
  private static final long STALL_NS = 700_000_000L;

  /** Time after a stall during which sockets may still hold messages that arrived during it. */
  private static final long CATCH_UP_NS = 300_000_000L;

  private long lastNs;
  private long stalledSinceNs;
  private long caughtUpNs = Long.MIN_VALUE;
  private boolean started;

  /** Records that the VM is processing an event. */
  void running(long nowNs) {
    boolean stalled = started && nowNs - lastNs > STALL_NS;
    if (stalled) {
      stalledSinceNs = lastNs;
      caughtUpNs = nowNs + CATCH_UP_NS;
    }
    started = true;
    lastNs = nowNs;
  }

  /** Returns the earliest time at which a message that is read now can have arrived. */
  long earliestArrivalNs(long nowNs) {
    return nowNs < caughtUpNs ? stalledSinceNs : nowNs;
  }
}
