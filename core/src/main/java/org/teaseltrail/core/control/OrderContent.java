package org.teaseltrail.core.control;

import java.util.Optional;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.upstream.UpstreamRole;

/**
 * Says what an engine is to do.
 *
 * @param kind what to do
 * @param target the model, its version and the adapter; empty for a change of role
 * @param role the role to take; empty but for a change of role
 */
public record OrderContent(
    OrderKind kind, Optional<ModelTarget> target, Optional<UpstreamRole> role) {

  /** Returns an order about a model. */
  public static OrderContent of(OrderKind kind, ModelTarget target) {
    return new OrderContent(kind, Optional.of(target), Optional.empty());
  }

  /** Returns an order to take a role. */
  public static OrderContent of(UpstreamRole role) {
    return new OrderContent(OrderKind.CHANGE_ROLE, Optional.empty(), Optional.of(role));
  }
}
