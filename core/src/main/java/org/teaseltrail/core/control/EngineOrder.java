package org.teaseltrail.core.control;

import java.util.Optional;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * Orders an engine to load or unload or to change its role.
 *
 * @param number tells the orders of one leadership apart
 * @param upstream the engine
 * @param address where it takes orders
 * @param content what to do
 * @param fencing the leadership that orders; engines that look at it refuse an older one
 */
public record EngineOrder(
    long number,
    UpstreamId upstream,
    SocketAddress address,
    OrderContent content,
    FencingNumber fencing) {

  /** Returns the adapter that the order names, if any. */
  public Optional<AdapterId> adapter() {
    boolean named = content.kind() == OrderKind.LOAD_ADAPTER;
    return named ? content.target().flatMap(ModelTarget::adapter) : Optional.empty();
  }
}
