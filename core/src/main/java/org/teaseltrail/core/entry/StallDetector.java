package org.teaseltrail.core.entry;

/**
 * Notices that this VM stood still, and bounds the age of what it reads right after.
 *
 * <p>Guards against an old announcement that is taken for a new one: a frozen VM thaws and reads
 * what its sockets have held since. An upstream that said meanwhile, to another VM, that it leaves
 * shows as serving, and a new leader that hears this VM first gives it work seconds later. What is
 * read within the catch-up may be as old as the stall, so it counts as heard when the stall began.
 */
final class StallDetector {

  /** Time without any event that counts as a stall; a VM without work says hello more often. */
  private static final long STALL_NS = 700_000_000L;

  /** Time after a stall in which the sockets may still hold what came during it. */
  private static final long CATCH_UP_NS = 300_000_000L;

  private long lastNs;
  private long stalledSinceNs;
  private long caughtUpNs = Long.MIN_VALUE;
  private boolean begun;

  /** Notes that the VM runs. */
  void running(long nowNs) {
    boolean stalled = begun && nowNs - lastNs > STALL_NS;
    if (stalled) {
      stalledSinceNs = lastNs;
      caughtUpNs = nowNs + CATCH_UP_NS;
    }
    begun = true;
    lastNs = nowNs;
  }

  /** Returns the earliest time at which a message that is read now can have come. */
  long earliestArrivalNs(long nowNs) {
    return nowNs < caughtUpNs ? stalledSinceNs : nowNs;
  }
}
