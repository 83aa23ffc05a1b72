package org.teaseltrail.core.serving;

import java.util.List;
import java.util.Map;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.registry.Registration;

/**
 * Is what the leader tells an entry VM of the places at upstreams: one number for each upstream, in
 * the order of the registrations of the revision that is told with it. Each sync carries it, so it
 * names no upstream.
 *
 * @param elsewhere requests that the other entry VMs have at each upstream
 * @param ownParts places at each upstream that the VM may fill while it hears nothing from a leader
 */
public record UpstreamSlots(List<Integer> elsewhere, List<Integer> ownParts) {

  /** The leader doesn't know yet; what an entry VM was told before goes on. */
  public static final UpstreamSlots NONE = new UpstreamSlots(List.of(), List.of());

  /** Copies the lists. */
  public UpstreamSlots {
    elsewhere = List.copyOf(elsewhere);
    ownParts = List.copyOf(ownParts);
  }

  /**
   * Puts places into the order of the registrations.
   *
   * @param present the registrations
   * @param elsewhere requests that the other VMs have, by upstream; those without any left out
   * @param ownParts places of the VM, by upstream; those without any left out
   * @return the places
   */
  public static UpstreamSlots of(
      List<Registration> present,
      Map<UpstreamId, Integer> elsewhere,
      Map<UpstreamId, Integer> ownParts) {
    return new UpstreamSlots(inOrder(present, elsewhere), inOrder(present, ownParts));
  }

  /** Tells whether the leader doesn't know yet. */
  public boolean isNone() {
    return elsewhere.isEmpty() && ownParts.isEmpty();
  }

  private static List<Integer> inOrder(
      List<Registration> present, Map<UpstreamId, Integer> counts) {
    return present.stream().map(upstream -> counts.getOrDefault(upstream.id(), 0)).toList();
  }
}
