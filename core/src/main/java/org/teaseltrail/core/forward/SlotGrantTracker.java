package org.teaseltrail.core.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrail.core.collection.OrderedCopies;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Tracks for which services the leader allocates the slots at present, and which of its grants this
 * VM has received.
 *
 * <p>The VM dispatches on its own again shortly after the last message of the leader. Otherwise
 * requests would wait for grants of a leader that is gone, and all would miss their latency
 * objective although upstreams have capacity.
 */
final class SlotGrantTracker {

  /**
   * Time without a message after which the leader's allocation no longer applies: six syncs of a VM
   * with queued requests.
   */
  private static final long LEADER_TIMEOUT_NS = 300_000_000L;

  private final Map<ServiceId, Set<UpstreamId>> unwanted = new HashMap<>();
  private FencingNumber fencing = new FencingNumber(0);
  private Set<ServiceId> contended = Set.of();
  private long heardNs;
  private long grantsSeen;
  private long usedGrantCount;

  /** Sets the services whose slots the leader allocates. */
  void contended(FencingNumber leadership, List<ServiceId> services, long nowNs) {
    resetOnNewLeadership(leadership);
    contended = OrderedCopies.setOf(services);
    heardNs = nowNs;
  }

  /** Records a grant; it is acknowledged to the leader whether it is used or not. */
  void granted(FencingNumber leadership, long sequence, long nowNs) {
    resetOnNewLeadership(leadership);
    grantsSeen = sequence;
    heardNs = nowNs;
  }

  private void resetOnNewLeadership(FencingNumber leadership) {
    if (!leadership.equals(fencing)) {
      fencing = leadership;
      grantsSeen = 0;
      contended = Set.of();
      unwanted.clear();
    }
  }

  /** Returns whether requests of a service wait for the leader's grants. */
  boolean isLeaderAllocated(ServiceId service, long nowNs) {
    return contended.contains(service) && !isLeaderSilent(nowNs);
  }

  /** Returns whether nothing has been heard of a leader recently. */
  boolean isLeaderSilent(long nowNs) {
    return nowNs - heardNs > LEADER_TIMEOUT_NS;
  }

  /** Returns whether the leader needs reports about this VM's queues. */
  boolean hasContendedService() {
    return !contended.isEmpty();
  }

  long grantsSeen() {
    return grantsSeen;
  }

  /** Records that a request was dispatched by a grant. */
  void recordUsedGrant() {
    usedGrantCount++;
  }

  /** Returns the number of requests that were dispatched by a grant so far. */
  long usedGrantCount() {
    return usedGrantCount;
  }

  /** Records that no queued request can use an upstream. */
  void markUnwanted(ServiceId service, UpstreamId upstream) {
    unwanted.computeIfAbsent(service, key -> new HashSet<>()).add(upstream);
  }

  /** Records that the queue has changed, so that any upstream may be usable again. */
  void onQueueChanged(ServiceId service) {
    unwanted.remove(service);
  }

  List<UpstreamId> unwanted(ServiceId service) {
    return List.copyOf(unwanted.getOrDefault(service, Set.of()));
  }
}
