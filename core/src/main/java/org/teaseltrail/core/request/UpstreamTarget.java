package org.teaseltrail.core.request;

import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * Is the upstream that a request was given.
 *
 * @param upstream its name
 * @param address where it takes requests
 */
public record UpstreamTarget(UpstreamId upstream, SocketAddress address) {}
