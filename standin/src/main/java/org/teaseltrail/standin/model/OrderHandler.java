package org.teaseltrail.standin.model;

import org.teaseltrail.core.upstream.UpstreamRole;

/** Applies orders to an engine's models and role. */
final class OrderHandler {

  private final FencingValidator fencing;
  private final ModelRegistry modelRegistry;
  private UpstreamRole role = UpstreamRole.GENERATE;

  OrderHandler(EngineSettings settings) {
    this.fencing = new FencingValidator(settings.honoursFencing());
    this.modelRegistry = new ModelRegistry(settings.models(), settings.modelLoadMs());
  }

  EngineAction handle(EngineEvent.Order event, long nowNs) {
    if (!fencing.accept(event.fencing())) {
      return new EngineAction.OrderRefused(fencing.newest());
    }
    EngineOrder order = event.order();
    if (order instanceof EngineOrder.LoadModel load) {
      modelRegistry.load(load.model(), load.version(), nowNs);
    } else if (order instanceof EngineOrder.UnloadModel unload) {
      modelRegistry.unload(unload.model(), unload.version());
    } else if (order instanceof EngineOrder.LoadAdapter load) {
      modelRegistry.loadAdapter(load.model(), load.version(), load.adapter());
    } else if (order instanceof EngineOrder.ChangeRole change) {
      role = change.role();
    }
    return new EngineAction.OrderAccepted();
  }

  ModelRegistry modelRegistry() {
    return modelRegistry;
  }

  UpstreamRole role() {
    return role;
  }

  void reset() {
    modelRegistry.reset();
    role = UpstreamRole.GENERATE;
  }
}
