package org.teaseltrail.control;

import java.util.Optional;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.runtime.log.EventLog;

/**
 * Holds where actions go.
 *
 * @param writes the data folder
 * @param snapshots encodes snapshots
 * @param peers other members
 * @param entryVms entry VMs
 * @param servingVms entry VMs that place requests themselves
 * @param orders engines
 * @param calls operators
 * @param metrics counts
 * @param group who must know of the members and the leader
 * @param log takes a line for each change of leader, if there is one
 */
record ActionTargets(
    WriteLoop writes,
    SnapshotEncoder snapshots,
    PeerLinks peers,
    VmConnections<EntryMessage, ControlMessage> entryVms,
    VmConnections<ServingMessage, ServingReply> servingVms,
    OrderClient orders,
    OperatorCalls calls,
    ControlMetrics metrics,
    GroupTargets group,
    Optional<EventLog> log) {}
