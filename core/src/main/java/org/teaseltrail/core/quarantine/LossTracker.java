package org.teaseltrail.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.registry.UpstreamIncarnation;

/**
 * Remembers under which requests upstreams were lost, at an entry VM what it saw itself, at the
 * leader what all VMs saw.
 *
 * <p>An upstream that ends takes all its requests with it, so all of them are suspects. What tells
 * the one that ends upstreams from the others is that it comes again: no other is there each time.
 * A loss is excused if the upstream is seen alive afterwards (a broken connection only), and all
 * losses of a request are if it gets a whole answer anywhere.
 */
public final class LossTracker {

  /** Losses from which on a request is held; all that the users allow. */
  public static final int LOSSES_TO_HOLD = 3;

  private static final long NS_PER_MS = 1_000_000L;

  /** Suspects of one customer at most; no customer can push another's out of the book. */
  private static final int MOST_OF_CUSTOMER = 64;

  private final long memoryNs;
  private final Map<Optional<CustomerId>, LinkedHashMap<Fingerprint, SuspectRequest>> byCustomer =
      new HashMap<>();
  private final Map<Fingerprint, SuspectRequest> suspects = new HashMap<>();
  private final Map<UpstreamIncarnation, Set<Fingerprint>> byUpstream = new HashMap<>();

  /**
   * Creates an empty book.
   *
   * @param memoryMs how long a suspect is remembered after its newest loss, in milliseconds
   */
  public LossTracker(long memoryMs) {
    memoryNs = memoryMs * NS_PER_MS;
  }

  /**
   * Notes that a request's connection to an upstream ended before the answer did.
   *
   * @param request the request
   * @param customer whose it is
   * @param upstream the upstream
   * @param atNs when
   */
  public void recordLoss(
      Fingerprint request, Optional<CustomerId> customer, UpstreamIncarnation upstream, long atNs) {
    LinkedHashMap<Fingerprint, SuspectRequest> ofCustomer =
        byCustomer.computeIfAbsent(customer, key -> new LinkedHashMap<>());
    SuspectRequest suspect = ofCustomer.remove(request);
    if (suspect == null) {
      suspect = new SuspectRequest(request, customer);
      suspects.put(request, suspect);
    }
    ofCustomer.put(request, suspect);
    suspect.recordLoss(upstream, atNs);
    byUpstream.computeIfAbsent(upstream, life -> new HashSet<>()).add(request);
    if (ofCustomer.size() > MOST_OF_CUSTOMER) {
      forget(ofCustomer.values().iterator().next());
    }
  }

  /**
   * Excuses all losses of a request that got a whole answer.
   *
   * @param request the request
   */
  public void recordSuccess(Fingerprint request) {
    SuspectRequest suspect = suspects.get(request);
    if (suspect != null) {
      suspect.excuseAll();
    }
  }

  /**
   * Excuses the losses of an upstream from before a time, as it was seen alive.
   *
   * @param upstream the upstream
   * @param lostBeforeNs the time
   * @return whether the book has any loss of it
   */
  public boolean alive(UpstreamIncarnation upstream, long lostBeforeNs) {
    Set<Fingerprint> requests = byUpstream.getOrDefault(upstream, Set.of());
    requests.forEach(request -> suspects.get(request).alive(upstream, lostBeforeNs));
    return !requests.isEmpty();
  }

  /**
   * Tells whether a request is in the book and all its losses are excused.
   *
   * @param request the request
   * @return false also for a request that isn't in the book
   */
  public boolean isCleared(Fingerprint request) {
    SuspectRequest suspect = suspects.get(request);
    return suspect != null && suspect.losses() == 0;
  }

  /**
   * Returns how many upstreams were lost under a request.
   *
   * @param request the request
   * @return losses that are not excused
   */
  public int losses(Fingerprint request) {
    SuspectRequest suspect = suspects.get(request);
    return suspect == null ? 0 : suspect.losses();
  }

  /**
   * Tells whether there is no suspect.
   *
   * @return true if there is none
   */
  public boolean isEmpty() {
    return suspects.isEmpty();
  }

  /**
   * Tells whether any suspect has a scope, so that the content of most requests needn't be looked
   * at.
   *
   * @param scope the scope
   * @return true if one has
   */
  public boolean hasScope(int scope) {
    for (Fingerprint request : suspects.keySet()) {
      if (request.scope() == scope) {
        return true;
      }
    }
    return false;
  }

  /**
   * Tells whether a request must be held.
   *
   * @param request the request
   * @return true if upstreams were lost under it too often
   */
  public boolean mustHold(Fingerprint request) {
    return losses(request) >= LOSSES_TO_HOLD;
  }

  /**
   * Returns the requests that must be held.
   *
   * @return the requests with their customers
   */
  public Map<Fingerprint, Optional<CustomerId>> findRequestsToHold() {
    Map<Fingerprint, Optional<CustomerId>> found = new LinkedHashMap<>();
    suspects.forEach(
        (request, suspect) -> {
          if (suspect.losses() >= LOSSES_TO_HOLD) {
            found.put(request, suspect.customer());
          }
        });
    return found;
  }

  /**
   * Returns the suspects whose newest loss came later than a time.
   *
   * @param sinceNs the time
   * @return the requests with a loss that counts
   */
  public Set<Fingerprint> findLostAfter(long sinceNs) {
    Set<Fingerprint> found = new HashSet<>();
    suspects.forEach(
        (request, suspect) -> {
          if (suspect.newestNs() > sinceNs && suspect.losses() > 0) {
            found.add(request);
          }
        });
    return found;
  }

  /**
   * Returns the suspects whose newest loss came before a time.
   *
   * @param beforeNs the time
   * @return the requests
   */
  public Set<Fingerprint> findLostBefore(long beforeNs) {
    Set<Fingerprint> found = new HashSet<>();
    suspects.forEach(
        (request, suspect) -> {
          if (suspect.newestNs() < beforeNs) {
            found.add(request);
          }
        });
    return found;
  }

  /**
   * Returns the time of a request's newest loss.
   *
   * @param request a request of the book
   * @return monotonic time in nanoseconds
   */
  public long newestLossNs(Fingerprint request) {
    return suspects.get(request).newestNs();
  }

  /**
   * Returns all losses that aren't excused.
   *
   * @param nowNs time
   * @return the losses
   */
  public List<Loss> all(long nowNs) {
    List<Loss> all = new ArrayList<>();
    for (SuspectRequest suspect : suspects.values()) {
      suspect
          .counted()
          .forEach(
              (life, atNs) ->
                  all.add(
                      new Loss(
                          suspect.request(),
                          suspect.customer(),
                          life,
                          Math.max(0, (nowNs - atNs) / NS_PER_MS))));
    }
    return all;
  }

  /**
   * Forgets suspects whose newest loss is long ago.
   *
   * @param nowNs time
   */
  public void removeExpired(long nowNs) {
    suspects.values().stream()
        .filter(suspect -> nowNs - suspect.newestNs() > memoryNs)
        .toList()
        .forEach(this::forget);
  }

  private void forget(SuspectRequest suspect) {
    suspects.remove(suspect.request());
    byCustomer.computeIfPresent(
        suspect.customer(),
        (customer, ofCustomer) -> {
          ofCustomer.remove(suspect.request());
          return ofCustomer.isEmpty() ? null : ofCustomer;
        });
    for (UpstreamIncarnation upstream : suspect.upstreams()) {
      byUpstream.computeIfPresent(
          upstream,
          (life, requests) -> {
            requests.remove(suspect.request());
            return requests.isEmpty() ? null : requests;
          });
    }
  }
}
