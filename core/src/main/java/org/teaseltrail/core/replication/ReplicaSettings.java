package org.teaseltrail.core.replication;

/**
 * Sets times and sizes of replication.
 *
 * @param heartbeatMs between a leader's heartbeats, in milliseconds
 * @param leaseMs how long a voter that has heard from a leader refuses others its vote, in
 *     milliseconds of its own clock; less than the election timeout
 * @param leaseMarginPerMille part of the lease that a leader gives up because its clock may be
 *     slower than a voter's, in thousandths
 * @param electionTimeoutMinMs least time without a leader before a voter stands, in milliseconds
 * @param electionTimeoutMaxMs greatest such time; each wait is drawn anew from the range
 * @param maxBatchEntries most entries in one message
 * @param maxBatchBytes most bytes of commands in one message, unless one command alone has more
 * @param maxInflightMessages most messages with entries sent to a member and not answered
 * @param maxUncommittedBytes most bytes of commands that wait for a quorum
 * @param snapshotPartBytes bytes of a snapshot in one message
 * @param snapshotEveryEntries least entries applied since the last snapshot before one is taken; up
 *     to half as many more are drawn, and the commands must be as large as the last snapshot's
 *     state
 * @param keptEntries least entries before a snapshot's end that stay for members little behind
 */
public record ReplicaSettings(
    int heartbeatMs,
    int leaseMs,
    int leaseMarginPerMille,
    int electionTimeoutMinMs,
    int electionTimeoutMaxMs,
    int maxBatchEntries,
    int maxBatchBytes,
    int maxInflightMessages,
    int maxUncommittedBytes,
    int snapshotPartBytes,
    int snapshotEveryEntries,
    int keptEntries) {

  private static final int KEPT_SNAPSHOT_INTERVALS = 4;

  /** Checks that the times fit one another. */
  public ReplicaSettings {
    boolean timesFit =
        0 < heartbeatMs
            && heartbeatMs < leaseMs
            && leaseMs < electionTimeoutMinMs
            && electionTimeoutMinMs <= electionTimeoutMaxMs;
    if (!timesFit) {
      throw new InvalidReplicaSettingsException(
          "needs heartbeat < lease < least election timeout <= greatest election timeout");
    }
    if (leaseMarginPerMille < 0 || leaseMarginPerMille >= 1000) {
      throw new InvalidReplicaSettingsException("needs a lease margin from 0 to 999 per mille");
    }
  }

  /**
   * Returns the settings for members within one region. The times leave several heartbeats to a
   * lease at the users' one-way latencies of up to 3 ms, and put a new leader within 2 s of a kill.
   *
   * @return the defaults
   */
  public static ReplicaSettings defaults() {
    return new ReplicaSettings(
        50, 500, 50, 600, 900, 512, 512 * 1024, 16, 16 * 1024 * 1024, 256 * 1024, 10_000, 1_000);
  }

  /**
   * Returns how long a leader may rely on a round that a quorum has answered.
   *
   * @return nanoseconds of its own clock from the round's sending
   */
  long leaderLeaseNs() {
    return leaseMs * 1_000L * (1_000 - leaseMarginPerMille);
  }

  /** Returns how old what a learner holds may be for it to count as caught up. */
  long catchUpNs() {
    return electionTimeoutMinMs * 1_000_000L;
  }

  /** Returns how many entries before a snapshot's end stay at most for members that lag. */
  long maxKeptEntries() {
    return KEPT_SNAPSHOT_INTERVALS * (long) snapshotEveryEntries;
  }

  long leaseNs() {
    return leaseMs * 1_000_000L;
  }

  long heartbeatNs() {
    return heartbeatMs * 1_000_000L;
  }
}
