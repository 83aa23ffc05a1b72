package org.teaseltrail.core.control;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.claim.ClaimKey;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.Ticket;

/** Knows the pool of each request that waits or runs, and which request waits under a key. */
final class RequestTracker {

  private final Map<RequestId, TrackedRequest> requests = new HashMap<>();
  private final Map<ClaimKey, TrackedRequest> byKey = new HashMap<>();

  /** Tracks a request; the first under a key stays the one that is found by it. */
  TrackedRequest track(VmId vm, Ticket ticket) {
    TrackedRequest tracked =
        requests.computeIfAbsent(ticket.request(), id -> new TrackedRequest(vm, ticket));
    tracked.claimKey().ifPresent(key -> byKey.putIfAbsent(key, tracked));
    return tracked;
  }

  Optional<TrackedRequest> find(RequestId request) {
    return Optional.ofNullable(requests.get(request));
  }

  Optional<TrackedRequest> findByKey(ClaimKey key) {
    return Optional.ofNullable(byKey.get(key));
  }

  void remove(RequestId request) {
    TrackedRequest removed = requests.remove(request);
    if (removed != null) {
      removed.claimKey().ifPresent(key -> byKey.remove(key, removed));
    }
  }

  /** Forgets all requests of a VM. */
  void removeAll(VmId vm) {
    List<RequestId> gone =
        requests.values().stream()
            .filter(tracked -> tracked.vm().equals(vm))
            .map(TrackedRequest::request)
            .toList();
    gone.forEach(this::remove);
  }

  Collection<TrackedRequest> all() {
    return Collections.unmodifiableCollection(requests.values());
  }
}
