package org.teaseltrail.core.replication;

/**
 * Tracks whether a member has caught up with the leader's log. At a heartbeat the leader sets the
 * commit index of that moment as the target; once the member has synced its log up to the target,
 * it was up to date at the time of that heartbeat.
 *
 * <p>Comparing the member with the current commit index instead would never accept a member with a
 * longer round trip than the others while commands keep arriving.
 *
 * @param asked whether a target is set and not yet reached
 * @param targetIndex the commit index when the target was set
 * @param targetSetNs when the target was set
 * @param caughtUpBefore whether the member has reached an earlier target
 * @param caughtUpNs when the last target that was reached had been set
 */
record CatchUpState(
    boolean asked, long targetIndex, long targetSetNs, boolean caughtUpBefore, long caughtUpNs) {

  static CatchUpState none() {
    return new CatchUpState(false, 0, 0, false, 0);
  }

  /** Sets a new target unless the pending one is younger than the given age. */
  CatchUpState asked(long commitIndex, long nowNs, long maxAgeNs) {
    if (asked && nowNs - targetSetNs < maxAgeNs) {
      return this;
    }
    return new CatchUpState(true, commitIndex, nowNs, caughtUpBefore, caughtUpNs);
  }

  CatchUpState onSynced(long syncedIndex) {
    boolean isReached = asked && syncedIndex >= targetIndex;
    return isReached ? new CatchUpState(false, 0, 0, true, targetSetNs) : this;
  }

  boolean hasCaughtUpWithin(long nowNs, long maxAgeNs) {
    return caughtUpBefore && nowNs - caughtUpNs < maxAgeNs;
  }
}
