package org.teaseltrail.core.control;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.registry.Registration;

/**
 * The order in which the leader grants a VM slots of upstreams whose slots are dealt: first one
 * that was dealt to the VM itself, then at the upstream with the fewest requests beyond the dealt
 * slots of their VMs, then at the emptiest.
 *
 * <p>The VMs to which the other slots were dealt may use them at any time without asking. The
 * requests beyond are those that an upstream then has to queue, so they are spread evenly.
 */
final class DealtSlotOrder {

  /** Number of requests that an upstream is expected to queue beyond its slots at any time. */
  private static final int MAX_BEYOND = 1;

  private final SlotAllocator.DealtSlots dealt;
  private final boolean areUsedByVms;
  private final Map<VmId, Map<UpstreamId, Integer>> occupied = new HashMap<>();
  private final Map<UpstreamId, Integer> beyond = new HashMap<>();
  private final Map<UpstreamId, Integer> reserveWithoutLeader = new HashMap<>();

  /**
   * Creates the order of one allocation.
   *
   * @param service the service
   * @param dealt the slots that were dealt to VMs
   * @param vms the state of all VMs
   * @param upstreams the upstreams of the service
   */
  DealtSlotOrder(
      ServiceId service,
      SlotAllocator.DealtSlots dealt,
      Collection<EntryVmSlotState> vms,
      Collection<Registration> upstreams) {
    this.dealt = dealt;
    areUsedByVms = dealt.areUsedByVms(service);
    for (EntryVmSlotState vm : vms) {
      Map<UpstreamId, Integer> counts = vm.occupied();
      occupied.put(vm.id(), counts);
      counts.forEach(
          (upstream, count) ->
              addBeyond(upstream, Math.max(0, count - dealt.count(vm.id(), upstream))));
    }
    if (!areUsedByVms) {
      upstreams.forEach(
          upstream -> reserveWithoutLeader.put(upstream.id(), upstream.slots() + MAX_BEYOND));
      occupied.forEach(this::countWithoutLeader);
    }
  }

  /**
   * Returns whether an upstream can take a request of a VM even if all other VMs use the slots that
   * were dealt to them: at once, or if the leader falls silent while it allocates all slots.
   */
  boolean hasRoom(VmId vm, UpstreamId upstream) {
    return areUsedByVms
        ? hasDealtSlot(vm, upstream) || beyondWith(vm, upstream) <= MAX_BEYOND
        : hasRoomWithoutLeader(vm, upstream);
  }

  /** Counts what a VM may have at each upstream if the leader falls silent now. */
  private void countWithoutLeader(VmId vm, Map<UpstreamId, Integer> counts) {
    Map<UpstreamId, Integer> most = new HashMap<>(dealt.sentTo(vm));
    counts.forEach((upstream, count) -> most.merge(upstream, count, Math::max));
    most.forEach(this::useReserve);
  }

  private void useReserve(UpstreamId upstream, int count) {
    reserveWithoutLeader.computeIfPresent(upstream, (id, left) -> left - count);
  }

  /**
   * Returns whether an upstream can take a request of a VM even if the leader falls silent at once
   * and all VMs use the slots that they were sent last: a slot that a VM has given up is granted to
   * another one only once the former owner knows, except for what an upstream can queue.
   */
  private boolean hasRoomWithoutLeader(VmId vm, UpstreamId upstream) {
    return isOwnWithoutLeader(vm, upstream) || reserveWithoutLeader.getOrDefault(upstream, 0) > 0;
  }

  private boolean isOwnWithoutLeader(VmId vm, UpstreamId upstream) {
    int count = occupied.get(vm).getOrDefault(upstream, 0);
    return count < dealt.sentTo(vm).getOrDefault(upstream, 0);
  }

  /** Returns a comparator of upstreams with free slots that has the best one for a VM last. */
  Comparator<Map.Entry<UpstreamId, Integer>> worstFirst(VmId vm) {
    return Comparator.<Map.Entry<UpstreamId, Integer>>comparingInt(
            entry -> -beyondWith(vm, entry.getKey()))
        .thenComparing(Map.Entry.comparingByValue());
  }

  /** Records that a VM was granted a slot. */
  void granted(VmId vm, UpstreamId upstream) {
    addBeyond(upstream, hasDealtSlot(vm, upstream) ? 0 : 1);
    useReserve(upstream, isOwnWithoutLeader(vm, upstream) ? 0 : 1);
    occupied.get(vm).merge(upstream, 1, Integer::sum);
  }

  /**
   * Returns the fewest requests beyond the dealt slots if the VM sent another one to any; no limit
   * while the leader allocates all slots.
   */
  int leastBeyond(VmId vm, Collection<UpstreamId> free, Predicate<UpstreamId> accepted) {
    if (!areUsedByVms) {
      return Integer.MAX_VALUE;
    }
    return free.stream()
        .filter(accepted)
        .mapToInt(upstream -> beyondWith(vm, upstream))
        .min()
        .orElse(Integer.MAX_VALUE);
  }

  /** Returns the requests beyond the dealt slots if the VM sent another one. */
  int beyondWith(VmId vm, UpstreamId upstream) {
    return beyond.getOrDefault(upstream, 0) + (hasDealtSlot(vm, upstream) ? 0 : 1);
  }

  private boolean hasDealtSlot(VmId vm, UpstreamId upstream) {
    return occupied.get(vm).getOrDefault(upstream, 0) < dealt.count(vm, upstream);
  }

  private void addBeyond(UpstreamId upstream, int count) {
    if (count > 0) {
      beyond.merge(upstream, count, Integer::sum);
    }
  }
}
