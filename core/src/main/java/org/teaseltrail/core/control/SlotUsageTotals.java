package org.teaseltrail.core.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Adds up what all entry VMs hold at upstreams, once for all places that are handed out at a time.
 *
 * <p>Guards against a leader whose one thread is busy with adding up: sixty VMs tell of each change
 * to their lines, and asking each VM about each of a hundred upstreams every time keeps syncs,
 * quotas and operators waiting. It costs what there is in use, not VMs times upstreams.
 */
final class SlotUsageTotals {

  private final Map<UpstreamId, Integer> taken = new HashMap<>();
  private final Set<UpstreamId> reading = new HashSet<>();
  private final Map<Integer, Long> heldByRank = new HashMap<>();

  /** Adds up what the VMs hold; by kinds of requests only for one service. */
  SlotUsageTotals(Collection<EntryVmSlotState> vms, ServiceId service) {
    vms.forEach(vm -> vm.addUsageTo(this, service));
  }

  /** Counts places in use at an upstream. */
  void addInUse(UpstreamId upstream, int places) {
    taken.merge(upstream, places, Integer::sum);
  }

  /** Counts a place that was handed out and not heard of yet. */
  void granted(SlotAllocator.Grant grant, ServiceId service) {
    addInUse(grant.upstream(), 1);
    addUnread(grant.upstream());
    if (grant.service().equals(service)) {
      held(grant.urgency().routeRank(), 1);
    }
  }

  /** Notes that an upstream may have a prompt before it that it has not read. */
  void addUnread(UpstreamId upstream) {
    reading.add(upstream);
  }

  /** Counts places that a kind of request holds. */
  void held(int routeRank, int places) {
    heldByRank.merge(routeRank, (long) places, Long::sum);
  }

  /** Returns how many places of an upstream are in use or handed out. */
  int usedAt(UpstreamId upstream) {
    return taken.getOrDefault(upstream, 0);
  }

  /** Tells whether an upstream may have a prompt before it that it has not read. */
  boolean hasUnreadPrompt(UpstreamId upstream) {
    return reading.contains(upstream);
  }

  /** Returns how many places a kind of request holds or is granted. */
  long usedByKind(int routeRank) {
    return heldByRank.getOrDefault(routeRank, 0L);
  }
}
