package org.teaseltrail.core.control;

import java.util.Optional;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * An order to an engine to load or unload a model or to change its role.
 *
 * @param number identifies the order among those of one leadership
 * @param upstream the engine
 * @param address the address at which it accepts orders
 * @param content the operation to perform
 * @param fencing the leadership that sends the order; engines that check it reject an older one
 */
public record EngineOrder(
    long number,
    UpstreamId upstream,
    SocketAddress address,
    OrderContent content,
    FencingNumber fencing) {

  /** Returns the adapter to load, if the order loads one. */
  public Optional<AdapterId> adapter() {
    boolean named = content.kind() == OrderKind.LOAD_ADAPTER;
    return named ? content.target().flatMap(ModelTarget::adapter) : Optional.empty();
  }
}
