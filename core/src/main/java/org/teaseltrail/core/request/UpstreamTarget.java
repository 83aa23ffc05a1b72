package org.teaseltrail.core.request;

import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * Upstream to which a request is sent.
 *
 * @param upstream the upstream
 * @param address the address at which it accepts requests
 */
public record UpstreamTarget(UpstreamId upstream, SocketAddress address) {}
