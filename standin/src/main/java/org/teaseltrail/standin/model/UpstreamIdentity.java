package org.teaseltrail.standin.model;

import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * Identity and location of an upstream.
 *
 * @param upstream its id
 * @param incarnation the current incarnation of its process
 * @param address the address on which it accepts requests
 * @param dataCenter the data centre in which it runs
 */
public record UpstreamIdentity(
    UpstreamId upstream, Incarnation incarnation, SocketAddress address, DataCenterId dataCenter) {

  UpstreamIdentity withIncarnation(Incarnation next) {
    return new UpstreamIdentity(upstream, next, address, dataCenter);
  }
}
