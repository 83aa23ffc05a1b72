package org.teaseltrail.core.quarantine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;

/**
 * Store of the held requests, which are quarantined and sent to no upstream; part of the replicated
 * state.
 *
 * <p>It is replicated so that the quarantine survives a leader change and a power failure of all
 * members. Otherwise a new leader would have to lose several upstreams again before it detects the
 * request.
 */
public final class HeldRequestStore {

  /**
   * Maximum number of held requests per customer. The limit is per customer so that no customer can
   * evict the held requests of another one.
   */
  private static final int MAX_PER_CUSTOMER = 64;

  private final Map<Fingerprint, HeldRequest> held = new LinkedHashMap<>();

  /**
   * Restores the store from a snapshot.
   *
   * @param content the held requests, oldest first
   */
  public HeldRequestStore(List<HeldRequest> content) {
    content.forEach(entry -> held.put(entry.request(), entry));
  }

  /**
   * Adds a held request, unless the request is already held. Beyond the limit of its customer the
   * oldest held request of that customer is removed.
   *
   * @param request the request
   */
  public void hold(HeldRequest request) {
    held.putIfAbsent(request.request(), request);
    List<HeldRequest> ofCustomer = of(request.customer());
    if (ofCustomer.size() > MAX_PER_CUSTOMER) {
      held.remove(ofCustomer.get(0).request());
    }
  }

  /**
   * Counts a trial of a held request.
   *
   * @param request the request
   */
  public void recordTrial(Fingerprint request) {
    held.computeIfPresent(request, (key, entry) -> entry.withTrialCounted());
  }

  /**
   * Removes a request, so that it can be sent to upstreams again.
   *
   * @param request the request
   */
  public void release(Fingerprint request) {
    held.remove(request);
  }

  /**
   * Returns whether a request is held.
   *
   * @param request the request
   * @return true if it is
   */
  public boolean contains(Fingerprint request) {
    return held.containsKey(request);
  }

  /**
   * Returns all held requests.
   *
   * @return the requests, oldest first
   */
  public List<HeldRequest> all() {
    return new ArrayList<>(held.values());
  }

  private List<HeldRequest> of(Optional<CustomerId> customer) {
    return held.values().stream().filter(entry -> entry.customer().equals(customer)).toList();
  }
}
