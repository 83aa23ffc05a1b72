package org.teaseltrail.standin.model;

import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * Says who an upstream is and where.
 *
 * @param upstream its name
 * @param incarnation which of its lives
 * @param address where it takes requests
 * @param dataCenter where it stands
 */
public record UpstreamIdentity(
    UpstreamId upstream, Incarnation incarnation, SocketAddress address, DataCenterId dataCenter) {

  UpstreamIdentity withIncarnation(Incarnation next) {
    return new UpstreamIdentity(upstream, next, address, dataCenter);
  }
}
