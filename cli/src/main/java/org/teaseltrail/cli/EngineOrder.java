package org.teaseltrail.cli;

import org.teaseltrail.api.v1.ModelTarget;
import org.teaseltrail.api.v1.OrderEngineRequest;

/** Says what an engine is ordered to do. */
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
  /** Take another role. */
  CHANGE_ROLE {
    @Override
    void fill(OrderEngineRequest.Builder request, ModelTarget target, String role) {
      request.setChangeRole(role);
    }
  };

  /**
   * Writes the order into a request.
   *
   * @param request the request
   * @param target the model or adapter it is about, if any
   * @param role the role to take, if any
   */
  abstract void fill(OrderEngineRequest.Builder request, ModelTarget target, String role);

  /** Returns the words that an operator types. */
  @Override
  public String toString() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
