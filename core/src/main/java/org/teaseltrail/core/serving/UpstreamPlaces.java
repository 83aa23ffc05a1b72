package org.teaseltrail.core.serving;

import java.util.Map;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Is what the leader tells an entry VM of the places at upstreams.
 *
 * @param elsewhere requests that the other entry VMs have at each upstream
 * @param ownParts places at each upstream that the VM may fill while it hears nothing from a leader
 */
public record UpstreamPlaces(
    Map<UpstreamId, Integer> elsewhere, Map<UpstreamId, Integer> ownParts) {

  /** The leader doesn't know yet; what an entry VM was told before goes on. */
  public static final UpstreamPlaces NONE = new UpstreamPlaces(Map.of(), Map.of());

  /** Copies the maps. */
  public UpstreamPlaces {
    elsewhere = Map.copyOf(elsewhere);
    ownParts = Map.copyOf(ownParts);
  }

  /** Tells whether the leader doesn't know yet. */
  public boolean isNone() {
    return elsewhere.isEmpty() && ownParts.isEmpty();
  }
}
