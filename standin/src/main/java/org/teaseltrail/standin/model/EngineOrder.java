package org.teaseltrail.standin.model;

import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.upstream.UpstreamRole;

/** Is an order to an engine. */
public sealed interface EngineOrder {

  /**
   * Load a version of a model.
   *
   * @param model the model
   * @param version the version
   */
  record LoadModel(ModelId model, ModelVersion version) implements EngineOrder {}

  /**
   * Drop a version of a model; what runs on it goes on.
   *
   * @param model the model
   * @param version the version
   */
  record UnloadModel(ModelId model, ModelVersion version) implements EngineOrder {}

  /**
   * Load an adapter beside a loaded model.
   *
   * @param model the model
   * @param version its version
   * @param adapter the adapter
   */
  record LoadAdapter(ModelId model, ModelVersion version, AdapterId adapter)
      implements EngineOrder {}

  /**
   * Take another role.
   *
   * @param role the role
   */
  record ChangeRole(UpstreamRole role) implements EngineOrder {}
}
