package org.teaseltrail.core.control;

import java.util.Optional;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * Orders an engine to load a model or an adapter.
 *
 * @param kind what to do
 * @param upstream the engine
 * @param address where it takes orders
 * @param target the model, its version and the adapter
 * @param fencing the leadership that orders; engines that look at it refuse an older one
 */
public record EngineOrder(
    OrderKind kind,
    UpstreamId upstream,
    SocketAddress address,
    ModelTarget target,
    FencingNumber fencing) {

  /** Returns the adapter that the order names, if any. */
  public Optional<AdapterId> adapter() {
    return kind == OrderKind.LOAD_ADAPTER ? target.adapter() : Optional.empty();
  }
}
