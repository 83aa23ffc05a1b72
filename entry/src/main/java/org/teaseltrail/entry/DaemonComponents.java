package org.teaseltrail.entry;

/**
 * The daemon's components that handlers and the action executor share.
 *
 * @param loop the node's event loop
 * @param exchanges live requests
 * @param calls factory of upstream calls
 * @param control connections to control members
 * @param pendingVerdicts announcements and cache events that wait for the node's verdict
 * @param metrics the metrics
 * @param shutdown coordinates the shutdown
 * @param responses responses that are being written
 */
record DaemonComponents(
    NodeEventLoop loop,
    ExchangeRegistry exchanges,
    UpstreamCallFactory calls,
    ControlConnectionManager control,
    PendingVerdictRegistry pendingVerdicts,
    EntryMetrics metrics,
    ShutdownCoordinator shutdown,
    OpenResponseTracker responses) {}
