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

/** Tracks the requests that wait or run, by id and by idempotency key. */
final class RequestTracker {

  private final Map<RequestId, TrackedRequest> requests = new HashMap<>();
  private final Map<ClaimKey, TrackedRequest> byKey = new HashMap<>();

  /** Tracks a request; a lookup by key returns the first request with that key. */
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

  /** Removes all requests of a VM. */
  void removeAll(VmId vm) {
    List<RequestId> requestIds =
        requests.values().stream()
            .filter(tracked -> tracked.vm().equals(vm))
            .map(TrackedRequest::request)
            .toList();
    requestIds.forEach(this::remove);
  }

  Collection<TrackedRequest> all() {
    return Collections.unmodifiableCollection(requests.values());
  }
}
