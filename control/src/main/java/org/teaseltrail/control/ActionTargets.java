package org.teaseltrail.control;

/**
 * Holds where actions go.
 *
 * @param writes the data folder
 * @param snapshots encodes snapshots
 * @param peers other members
 * @param entryVms entry VMs
 * @param orders engines
 * @param calls operators
 * @param hint tells operators of the leader
 * @param metrics counts
 */
record ActionTargets(
    WriteLoop writes,
    SnapshotEncoder snapshots,
    PeerLinks peers,
    EntryConnections entryVms,
    OrderClient orders,
    OperatorCalls calls,
    LeaderHint hint,
    ControlMetrics metrics) {}
