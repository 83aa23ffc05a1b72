package org.teaseltrail.core.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Knows for which services the leader hands out the places at present, and what of its grants this
 * VM has seen.
 *
 * <p>Guards against requests that wait for grants of a leader that is gone: they would all miss
 * their objective though upstreams have room. Without a word from the leader for a short while the
 * VM places by itself again.
 */
final class SlotGrantTracker {

  /**
   * Silence after which the leader's word no longer counts: six of the syncs of a VM that waits.
   */
  private static final long HEARD_NS = 300_000_000L;

  private final Map<ServiceId, Set<UpstreamId>> unwanted = new HashMap<>();
  private FencingNumber fencing = new FencingNumber(0);
  private Set<ServiceId> contended = Set.of();
  private long heardNs;
  private long grantsSeen;

  /** Takes which services' places a leader hands out. */
  void contended(FencingNumber leadership, List<ServiceId> services, long nowNs) {
    follow(leadership);
    contended = Set.copyOf(services);
    heardNs = nowNs;
  }

  /** Takes a grant in; whether it is used or not, the leader is told that it was seen. */
  void granted(FencingNumber leadership, long sequence, long nowNs) {
    follow(leadership);
    grantsSeen = sequence;
    heardNs = nowNs;
  }

  private void follow(FencingNumber leadership) {
    if (!leadership.equals(fencing)) {
      fencing = leadership;
      grantsSeen = 0;
      contended = Set.of();
      unwanted.clear();
    }
  }

  /** Tells whether requests of a service wait for the leader's grants. */
  boolean isLeaderAllocated(ServiceId service, long nowNs) {
    return contended.contains(service) && nowNs - heardNs <= HEARD_NS;
  }

  /** Tells whether the leader wants to know what waits here. */
  boolean hasContendedService() {
    return !contended.isEmpty();
  }

  long grantsSeen() {
    return grantsSeen;
  }

  /** Notes that nothing that waits here can use an upstream. */
  void markUnwanted(ServiceId service, UpstreamId upstream) {
    unwanted.computeIfAbsent(service, key -> new HashSet<>()).add(upstream);
  }

  /** Notes that what waits has changed, so that any upstream may be of use again. */
  void onQueueChanged(ServiceId service) {
    unwanted.remove(service);
  }

  List<UpstreamId> unwanted(ServiceId service) {
    return List.copyOf(unwanted.getOrDefault(service, Set.of()));
  }
}
