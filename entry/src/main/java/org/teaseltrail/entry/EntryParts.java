package org.teaseltrail.entry;

/**
 * Holds the parts that carry actions out.
 *
 * @param loop the node's thread
 * @param exchanges live requests
 * @param calls connections to upstreams
 * @param control connections to control members
 * @param upstreamAnswers announcements that wait for their answer
 * @param metrics meters
 * @param shutdown the way out
 * @param responses answers being written
 */
record EntryParts(
    NodeLoop loop,
    Exchanges exchanges,
    UpstreamCalls calls,
    ControlConnections control,
    UpstreamAnswers upstreamAnswers,
    EntryMetrics metrics,
    Shutdown shutdown,
    OpenResponses responses) {}
