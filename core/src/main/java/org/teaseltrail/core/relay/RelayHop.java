package org.teaseltrail.core.relay;

import org.teaseltrail.core.id.VmId;

/**
 * What a peer has to know of a request's life before it was relayed, so that its time, its attempts
 * and whether it may have run are counted once.
 *
 * @param from the VM that took the request from its caller
 * @param elapsedMs time since that VM had read it completely, in milliseconds
 * @param sends number of upstreams that have received it
 * @param maybeRan whether one of them may have run it
 */
public record RelayHop(VmId from, long elapsedMs, int sends, boolean maybeRan) {}
