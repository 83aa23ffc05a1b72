package org.teaseltrail.core.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.registry.Registration;

/**
 * Slots in use and own shares that the leader sends to an entry VM: one number for each upstream,
 * in the order of the registrations of the revision in the same message. Upstream ids are omitted
 * to keep the message small, since each confirmed sync carries it.
 *
 * @param elsewhere number of requests that the other entry VMs have in flight at each upstream
 * @param ownParts slots of each upstream that the VM may use while it receives nothing from a
 *     leader
 */
public record UpstreamSlots(List<Integer> elsewhere, List<Integer> ownParts) {

  /** The leader doesn't know the slots yet; the VM keeps the values that it received earlier. */
  public static final UpstreamSlots NONE = new UpstreamSlots(List.of(), List.of());

  /** Copies the lists. */
  public UpstreamSlots {
    elsewhere = List.copyOf(elsewhere);
    ownParts = List.copyOf(ownParts);
  }

  /**
   * Arranges counts by upstream in the order of the registrations.
   *
   * @param present the registrations
   * @param elsewhere requests of the other VMs, by upstream; upstreams without any are omitted
   * @param ownParts the VM's own share, by upstream; upstreams without any are omitted
   * @return the slots
   */
  public static UpstreamSlots of(
      List<Registration> present,
      Map<UpstreamId, Integer> elsewhere,
      Map<UpstreamId, Integer> ownParts) {
    return of(present, id -> elsewhere.getOrDefault(id, 0), id -> ownParts.getOrDefault(id, 0));
  }

  /**
   * Arranges counts by upstream in the order of the registrations.
   *
   * @param present the registrations
   * @param elsewhere requests of the other VMs at an upstream
   * @param ownParts the VM's own share of an upstream
   * @return the slots
   */
  public static UpstreamSlots of(
      List<Registration> present,
      ToIntFunction<UpstreamId> elsewhere,
      ToIntFunction<UpstreamId> ownParts) {
    List<Integer> used = new ArrayList<>(present.size());
    List<Integer> parts = new ArrayList<>(present.size());
    for (Registration upstream : present) {
      used.add(elsewhere.applyAsInt(upstream.id()));
      parts.add(ownParts.applyAsInt(upstream.id()));
    }
    return new UpstreamSlots(used, parts);
  }

  /** Returns whether the leader doesn't know the slots yet. */
  public boolean isNone() {
    return elsewhere.isEmpty() && ownParts.isEmpty();
  }
}
