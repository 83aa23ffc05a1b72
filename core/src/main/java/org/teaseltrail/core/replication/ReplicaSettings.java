package org.teaseltrail.core.replication;

/**
 * Timeouts and size limits of replication.
 *
 * @param heartbeatMs interval between a leader's heartbeats, in milliseconds
 * @param leaseMs how long a voter refuses its vote to others after it has received a message from a
 *     leader, in milliseconds of its own clock; less than the election timeout
 * @param leaseMarginPerMille fraction of the lease that a leader doesn't use because its clock may
 *     be slower than a voter's, in thousandths
 * @param electionTimeoutMinMs min time without a leader before a voter starts an election, in
 *     milliseconds
 * @param electionTimeoutMaxMs max time without a leader; each timeout is drawn at random between
 *     min and max
 * @param maxBatchEntries max entries in one message
 * @param maxBatchBytes max bytes of commands in one message, unless a single command is larger
 * @param maxInflightMessages max unacknowledged messages with entries per member
 * @param maxInflightBytes size of the commands in unacknowledged messages to one member from which
 *     on no more are sent to it, in bytes
 * @param maxUncommittedBytes max bytes of commands that wait for a quorum, or for the leader's own
 *     disk
 * @param snapshots when snapshots are taken and what is retained of the log
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
    int maxInflightBytes,
    int maxUncommittedBytes,
    SnapshotSettings snapshots) {

  /** Validates that the times are consistent. */
  public ReplicaSettings {
    boolean isConsistent =
        0 < heartbeatMs
            && heartbeatMs < leaseMs
            && leaseMs < electionTimeoutMinMs
            && electionTimeoutMinMs <= electionTimeoutMaxMs;
    if (!isConsistent) {
      throw new InvalidReplicaSettingsException(
          "requires heartbeat < lease < min election timeout <= max election timeout");
    }
    if (leaseMarginPerMille < 0 || leaseMarginPerMille >= 1000) {
      throw new InvalidReplicaSettingsException("requires a lease margin from 0 to 999 per mille");
    }
  }

  /**
   * Returns the settings for members within one region. With one-way latencies of up to 3 ms the
   * times allow several heartbeats per lease, and a new leader is elected within 2 s after a leader
   * crash.
   *
   * @return the defaults
   */
  public static ReplicaSettings defaults() {
    return new ReplicaSettings(
        50,
        500,
        50,
        600,
        900,
        512,
        512 * 1024,
        16,
        2 * 1024 * 1024,
        16 * 1024 * 1024,
        SnapshotSettings.defaults());
  }

  /**
   * Returns these settings with others for snapshots.
   *
   * @param changed when snapshots are taken and what is retained of the log
   * @return the changed settings
   */
  public ReplicaSettings withSnapshots(SnapshotSettings changed) {
    return new ReplicaSettings(
        heartbeatMs,
        leaseMs,
        leaseMarginPerMille,
        electionTimeoutMinMs,
        electionTimeoutMaxMs,
        maxBatchEntries,
        maxBatchBytes,
        maxInflightMessages,
        maxInflightBytes,
        maxUncommittedBytes,
        changed);
  }

  /**
   * Returns how long a leader may rely on a heartbeat round to which a quorum has replied.
   *
   * @return nanoseconds of its own clock since the round was sent
   */
  long leaderLeaseNs() {
    return leaseMs * 1_000L * (1_000 - leaseMarginPerMille);
  }

  /** Returns how long ago a learner may have been up to date to still count as caught up. */
  long maxCatchUpAgeNs() {
    return electionTimeoutMinMs * 1_000_000L;
  }

  long leaseNs() {
    return leaseMs * 1_000_000L;
  }

  long heartbeatNs() {
    return heartbeatMs * 1_000_000L;
  }
}
