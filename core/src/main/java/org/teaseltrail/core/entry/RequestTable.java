package org.teaseltrail.core.entry;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.Request;
import org.teaseltrail.core.request.RequestState;

/** Stores the active requests of this VM, and the status of recently ended ones. */
final class RequestTable {

  /**
   * Maximum number of ended requests whose status is kept for callers; the oldest is removed first.
   */
  static final int MAX_ENDED = 10_000;

  private final Map<RequestId, Request> live = new LinkedHashMap<>();
  private final Map<RequestId, RequestStatus> ended = new LinkedHashMap<>();

  void add(Request request) {
    live.put(request.id(), request);
  }

  Optional<Request> live(RequestId id) {
    return Optional.ofNullable(live.get(id));
  }

  /** Returns the active request if the event belongs to its newest connection attempt. */
  Optional<Request> live(RequestId id, int attempt) {
    return live(id).filter(request -> request.attempt() == attempt);
  }

  Optional<RequestStatus> status(RequestId id) {
    return live(id).map(RequestStatus::of).or(() -> Optional.ofNullable(ended.get(id)));
  }

  void moveToEnded(Request request) {
    live.remove(request.id());
    ended.put(request.id(), RequestStatus.of(request));
    if (ended.size() > MAX_ENDED) {
      ended.remove(ended.keySet().iterator().next());
    }
  }

  Collection<Request> all() {
    return Collections.unmodifiableCollection(live.values());
  }

  List<Request> waiting() {
    return live.values().stream().filter(request -> request.state().isWaiting()).toList();
  }

  boolean isAnyWaiting() {
    return live.values().stream().anyMatch(request -> request.state().isWaiting());
  }

  int count(RequestState state) {
    return (int) live.values().stream().filter(request -> request.state() == state).count();
  }

  int size() {
    return live.size();
  }
}
