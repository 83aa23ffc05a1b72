package org.teaseltrail.core.replication;

/**
 * Follows how far a member is behind in time: at a heartbeat it is asked for what is committed
 * then, and once it holds that, synced, it was up to date at that heartbeat.
 *
 * <p>A comparison with the commit index of the moment would refuse a member for ever that is one
 * round trip further away than the others while commands keep coming.
 *
 * @param asked whether a question is open
 * @param askedIndex what was committed when it was asked
 * @param askedNs when it was asked
 * @param wasUpToDate whether an earlier question was answered
 * @param upToDateNs when the newest question that was answered had been asked
 */
record CatchUp(boolean asked, long askedIndex, long askedNs, boolean wasUpToDate, long upToDateNs) {

  static CatchUp none() {
    return new CatchUp(false, 0, 0, false, 0);
  }

  /** Asks, unless a question is open that isn't too old to be of use. */
  CatchUp asked(long commitIndex, long nowNs, long patienceNs) {
    if (asked && nowNs - askedNs < patienceNs) {
      return this;
    }
    return new CatchUp(true, commitIndex, nowNs, wasUpToDate, upToDateNs);
  }

  CatchUp holds(long syncedIndex) {
    boolean answers = asked && syncedIndex >= askedIndex;
    return answers ? new CatchUp(false, 0, 0, true, askedNs) : this;
  }

  boolean isRecent(long nowNs, long patienceNs) {
    return wasUpToDate && nowNs - upToDateNs < patienceNs;
  }
}
