package org.teaseltrail.core.control;

import java.util.Optional;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.upstream.UpstreamRole;

/**
 * The operation that an order requests from an engine.
 *
 * @param kind the kind of operation
 * @param target the model, its version and the adapter; empty for a change of role
 * @param role the new role; empty unless the order changes the role
 */
public record OrderContent(
    OrderKind kind, Optional<ModelTarget> target, Optional<UpstreamRole> role) {

  /** Returns an order that concerns a model. */
  public static OrderContent of(OrderKind kind, ModelTarget target) {
    return new OrderContent(kind, Optional.of(target), Optional.empty());
  }

  /** Returns an order to change the role. */
  public static OrderContent of(UpstreamRole role) {
    return new OrderContent(OrderKind.CHANGE_ROLE, Optional.empty(), Optional.of(role));
  }
}
