package org.teaseltrail.core.quarantine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;

/**
 * Holds the requests that no upstream gets; part of the replicated state.
 *
 * <p>Guards against a request that ends upstreams anew each time another member leads or all lose
 * power: whoever begins anew would have to lose some upstreams first to know of it.
 */
public final class HeldRequestStore {

  /** Held requests of one customer at most; no customer can push another's out of the book. */
  private static final int MOST_OF_CUSTOMER = 64;

  private final Map<Fingerprint, HeldRequest> held = new LinkedHashMap<>();

  /**
   * Builds the book that a snapshot holds.
   *
   * @param content the held requests, oldest first
   */
  public HeldRequestStore(List<HeldRequest> content) {
    content.forEach(one -> held.put(one.request(), one));
  }

  /**
   * Holds a request; one that is held already stays as it is.
   *
   * @param request the request
   */
  public void hold(HeldRequest request) {
    held.putIfAbsent(request.request(), request);
    List<HeldRequest> ofCustomer = of(request.customer());
    if (ofCustomer.size() > MOST_OF_CUSTOMER) {
      held.remove(ofCustomer.get(0).request());
    }
  }

  /**
   * Counts a trial of a request that is held.
   *
   * @param request the request
   */
  public void recordTrial(Fingerprint request) {
    held.computeIfPresent(request, (key, one) -> one.withTrialCounted());
  }

  /**
   * Lets a request go again.
   *
   * @param request the request
   */
  public void release(Fingerprint request) {
    held.remove(request);
  }

  /**
   * Tells whether a request is held.
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
    return held.values().stream().filter(one -> one.customer().equals(customer)).toList();
  }
}
