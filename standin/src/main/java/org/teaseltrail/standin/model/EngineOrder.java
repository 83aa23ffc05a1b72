package org.teaseltrail.standin.model;

import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.upstream.UpstreamRole;

/** Order to an engine that changes its models or its role. */
public sealed interface EngineOrder {

  /**
   * Loads a version of a model.
   *
   * @param model the model
   * @param version the version
   */
  record LoadModel(ModelId model, ModelVersion version) implements EngineOrder {}

  /**
   * Unloads a version of a model; requests that use it continue.
   *
   * @param model the model
   * @param version the version
   */
  record UnloadModel(ModelId model, ModelVersion version) implements EngineOrder {}

  /**
   * Loads an adapter for a loaded model.
   *
   * @param model the model
   * @param version its version
   * @param adapter the adapter
   */
  record LoadAdapter(ModelId model, ModelVersion version, AdapterId adapter)
      implements EngineOrder {}

  /**
   * Changes the engine's role.
   *
   * @param role the new role
   */
  record ChangeRole(UpstreamRole role) implements EngineOrder {}
}
