package org.teaseltrail.control;

import java.util.Optional;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.runtime.log.EventLog;

/**
 * Lists the components that execute the actions of a control member.
 *
 * @param writes writes to the data folder
 * @param snapshots encodes snapshots
 * @param peerConnections connections to the other members
 * @param entryVms connections of entry VMs
 * @param servingVms connections of entry VMs that schedule requests themselves
 * @param orderClient sends orders to engines
 * @param calls pending calls of operators
 * @param metrics the member's metrics
 * @param logSize reports the size of the replicated log
 * @param group notifies components of changes of the membership and the leader
 * @param log event log, if enabled; records changes of leadership, quarantine and rollouts
 */
record ActionTargets(
    DataFolderWriter writes,
    SnapshotEncoder snapshots,
    PeerConnections peerConnections,
    EntryVmConnections<EntryMessage, ControlMessage> entryVms,
    EntryVmConnections<ServingMessage, ServingReply> servingVms,
    EngineOrderClient orderClient,
    OperatorCallTracker calls,
    ControlMetrics metrics,
    LogSizeReporter logSize,
    GroupChangeNotifier group,
    Optional<EventLog> log) {}
