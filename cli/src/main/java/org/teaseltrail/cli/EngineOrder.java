package org.teaseltrail.cli;

import org.teaseltrail.api.v1.ModelTarget;
import org.teaseltrail.api.v1.OrderEngineRequest;

/** Kinds of orders that can be sent to an engine. */
enum EngineOrder {
  /** Load a model. */
  LOAD_MODEL {
    @Override
    void fill(OrderEngineRequest.Builder request, ModelTarget target, String role) {
      request.setLoadModel(target);
    }
  },
  /** Unload a model. */
  UNLOAD_MODEL {
    @Override
    void fill(OrderEngineRequest.Builder request, ModelTarget target, String role) {
      request.setUnloadModel(target);
    }
  },
  /** Load an adapter of a model. */
  LOAD_ADAPTER {
    @Override
    void fill(OrderEngineRequest.Builder request, ModelTarget target, String role) {
      request.setLoadAdapter(target);
    }
  },
  /** Change the engine's role. */
  CHANGE_ROLE {
    @Override
    void fill(OrderEngineRequest.Builder request, ModelTarget target, String role) {
      request.setChangeRole(role);
    }
  };

  /**
   * Sets the order in a request.
   *
   * @param request the request
   * @param target the model or adapter that the order refers to, if any
   * @param role the new role, if any
   */
  abstract void fill(OrderEngineRequest.Builder request, ModelTarget target, String role);

  /** Returns the argument by which an operator selects the order. */
  @Override
  public String toString() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
