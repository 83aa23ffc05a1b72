package org.teaseltrail.standin.model;

import org.teaseltrail.core.upstream.UpstreamRole;

/** Applies orders to an engine's models and role. */
final class OrderDesk {

  private final FencingGate fencing;
  private final ModelShelf shelf;
  private UpstreamRole role = UpstreamRole.GENERATE;

  OrderDesk(EngineSettings settings) {
    this.fencing = new FencingGate(settings.honoursFencing());
    this.shelf = new ModelShelf(settings.models(), settings.modelLoadMs());
  }

  EngineAction take(EngineEvent.Order event, long nowNs) {
    if (!fencing.admits(event.fencing())) {
      return new EngineAction.OrderRefused(fencing.newest());
    }
    EngineOrder order = event.order();
    if (order instanceof EngineOrder.LoadModel load) {
      shelf.load(load.model(), load.version(), nowNs);
    } else if (order instanceof EngineOrder.UnloadModel unload) {
      shelf.unload(unload.model(), unload.version());
    } else if (order instanceof EngineOrder.LoadAdapter load) {
      shelf.loadAdapter(load.model(), load.version(), load.adapter());
    } else if (order instanceof EngineOrder.ChangeRole change) {
      role = change.role();
    }
    return new EngineAction.OrderAccepted();
  }

  ModelShelf shelf() {
    return shelf;
  }

  UpstreamRole role() {
    return role;
  }

  void reset() {
    shelf.reset();
    role = UpstreamRole.GENERATE;
  }
}
