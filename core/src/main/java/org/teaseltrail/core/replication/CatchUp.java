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
 * @param askedIndex the commit index when the target was set
 * @param askedNs when the target was set
 * @param wasUpToDate whether the member has reached an earlier target
 * @param upToDateNs when the last target that was reached had been set
 */
record CatchUp(boolean asked, long askedIndex, long askedNs, boolean wasUpToDate, long upToDateNs) {

  static CatchUp none() {
    return new CatchUp(false, 0, 0, false, 0);
  }

  /** Sets a new target unless the pending one is younger than the given age. */
  CatchUp asked(long commitIndex, long nowNs, long patienceNs) {
    if (asked && nowNs - askedNs < patienceNs) {
      return this;
    }
    return new CatchUp(true, commitIndex, nowNs, wasUpToDate, upToDateNs);
  }

  CatchUp holds(long syncedIndex) {
    boolean isReached = asked && syncedIndex >= askedIndex;
    return isReached ? new CatchUp(false, 0, 0, true, askedNs) : this;
  }

  boolean isRecent(long nowNs, long patienceNs) {
    return wasUpToDate && nowNs - upToDateNs < patienceNs;
  }
}
