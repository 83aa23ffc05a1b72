package org.teaseltrail.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.registry.UpstreamIncarnation;

/**
 * Tracks which requests were being processed when upstreams were lost. An entry VM tracks what it
 * observes itself, the leader what all VMs report.
 *
 * <p>All requests that an upstream was processing when it crashed are suspects. The request that
 * causes the crashes is found by repetition: it is the only one that is present at each of them. A
 * loss is excused if the upstream is seen alive afterwards, since then only the connection broke.
 * All losses of a request are excused once it gets a complete answer from any upstream.
 */
public final class LossTracker {

  /** Number of losses at which a request is held; the requirements allow no more than this. */
  public static final int LOSSES_TO_HOLD = 3;

  /**
   * Number of losses at which a part of prompts is held that has been answered before; one that
   * never was is held like a request.
   */
  private static final int LOSSES_TO_HOLD_SERVED_PART = 5;

  /** Number of losses from which on a suspect explains losses of others. */
  private static final int LOSSES_TO_EXPLAIN = 2;

  private static final long NS_PER_MS = 1_000_000L;

  /** Whose suspects are limited together. */
  private record Owner(Optional<CustomerId> customer, boolean parts) {}

  /**
   * Maximum number of suspect requests, and of suspect parts, per customer. The limit is per
   * customer so that no customer can evict the suspects of another one.
   */
  private static final int MAX_PER_CUSTOMER = 64;

  private final long retentionNs;
  private final RepeatedLoss repeatedLoss;
  private final Map<Owner, LinkedHashMap<Fingerprint, SuspectRequest>> byOwner = new HashMap<>();
  private final Map<Fingerprint, SuspectRequest> suspects = new HashMap<>();
  private final Map<Integer, Integer> suspectsByScope = new HashMap<>();
  private final Map<UpstreamIncarnation, Set<Fingerprint>> byUpstream = new HashMap<>();

  /**
   * Creates a tracker without losses, in which an incarnation of an upstream is lost once.
   *
   * @param retentionMs how long a suspect is kept after its latest loss, in milliseconds
   */
  public LossTracker(long retentionMs) {
    this(retentionMs, RepeatedLoss.SAME_LOSS);
  }

  /**
   * Creates a tracker without losses.
   *
   * @param retentionMs how long a suspect is kept after its latest loss, in milliseconds
   * @param repeatedLoss how further losses of one incarnation of an upstream count
   */
  public LossTracker(long retentionMs, RepeatedLoss repeatedLoss) {
    retentionNs = retentionMs * NS_PER_MS;
    this.repeatedLoss = repeatedLoss;
  }

  /**
   * Records that the connection to an upstream closed before the answer to a request was complete.
   *
   * @param request the request
   * @param customer the customer that sent it
   * @param upstream the upstream
   * @param atNs monotonic time at which the connection closed
   */
  public void recordLoss(
      Fingerprint request, Optional<CustomerId> customer, UpstreamIncarnation upstream, long atNs) {
    add(request, new Owner(customer, false), upstream, atNs);
  }

  /**
   * Records that the connection to an upstream closed before the answer to a request was complete,
   * against a part of the request's prompt.
   *
   * @param part the part
   * @param customer the customer that sent the request
   * @param upstream the upstream
   * @param atNs monotonic time at which the connection closed
   * @param servedNs when a request with the part was last answered completely, if that is known
   */
  public void recordPartLoss(
      Fingerprint part,
      Optional<CustomerId> customer,
      UpstreamIncarnation upstream,
      long atNs,
      OptionalLong servedNs) {
    add(part, new Owner(customer, true), upstream, atNs);
    servedNs.ifPresent(suspects.get(part)::recordServed);
  }

  private void add(Fingerprint request, Owner owner, UpstreamIncarnation upstream, long atNs) {
    LinkedHashMap<Fingerprint, SuspectRequest> ofOwner =
        byOwner.computeIfAbsent(owner, key -> new LinkedHashMap<>());
    SuspectRequest suspect = ofOwner.remove(request);
    if (suspect == null) {
      suspect = new SuspectRequest(request, owner.customer(), owner.parts(), repeatedLoss);
      suspects.put(request, suspect);
      suspectsByScope.merge(request.scope(), 1, Integer::sum);
    }
    ofOwner.put(request, suspect);
    suspect.recordLoss(upstream, atNs);
    byUpstream.computeIfAbsent(upstream, key -> new HashSet<>()).add(request);
    if (ofOwner.size() > MAX_PER_CUSTOMER) {
      remove(ofOwner.values().iterator().next());
    }
  }

  /**
   * Excuses all losses of a request that got a complete answer.
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
   * Excuses the losses of an upstream before a given time, because it was seen alive after them.
   *
   * @param upstream the upstream
   * @param lostBeforeNs the time
   * @return whether any loss of the upstream is tracked
   */
  public boolean alive(UpstreamIncarnation upstream, long lostBeforeNs) {
    Set<Fingerprint> requests = byUpstream.getOrDefault(upstream, Set.of());
    requests.forEach(request -> suspects.get(request).alive(upstream, lostBeforeNs));
    return !requests.isEmpty();
  }

  /**
   * Returns whether a request is tracked and all its losses are excused.
   *
   * @param request the request
   * @return true if so; false also for a request that is not tracked
   */
  public boolean isCleared(Fingerprint request) {
    SuspectRequest suspect = suspects.get(request);
    return suspect != null && suspect.losses() == 0;
  }

  /**
   * Returns how many times upstreams were lost while processing a request.
   *
   * @param request the request
   * @return number of losses that are not excused
   */
  public int losses(Fingerprint request) {
    SuspectRequest suspect = suspects.get(request);
    return suspect == null ? 0 : suspect.losses();
  }

  /**
   * Returns whether no request is suspect.
   *
   * @return true if there is no suspect
   */
  public boolean isEmpty() {
    return suspects.isEmpty();
  }

  /**
   * Returns whether any suspect has the given scope. If none has, the content of the request needs
   * no digest.
   *
   * @param scope the scope
   * @return true if there is such a suspect
   */
  public boolean hasScope(int scope) {
    return suspectsByScope.containsKey(scope);
  }

  /**
   * Returns whether other requests were lost together with a request at any of its upstreams.
   *
   * @param request a request that is tracked
   * @return false if no other request can have caused its losses
   */
  public boolean hasCompanions(Fingerprint request) {
    return suspects.get(request).lossesAt(upstream -> isShared(request, upstream, 1)) > 0;
  }

  /**
   * Returns the number of losses of a request that no other suspect explains. A suspect explains
   * the loss of an upstream if it was processed there too and several upstreams were lost under it.
   *
   * @param request a request that is tracked
   * @return number of losses that are not excused and not explained
   */
  public int unexplainedLosses(Fingerprint request) {
    return suspects
        .get(request)
        .lossesAt(upstream -> !isShared(request, upstream, LOSSES_TO_EXPLAIN));
  }

  private boolean isShared(Fingerprint request, UpstreamIncarnation upstream, int minLosses) {
    return byUpstream.getOrDefault(upstream, Set.of()).stream()
        .filter(other -> !other.equals(request))
        .map(suspects::get)
        .filter(other -> !other.isPart())
        .anyMatch(other -> other.isLost(upstream) && other.losses() >= minLosses);
  }

  /**
   * Returns whether a part must be held: enough losses under it are left that no likelier suspect
   * explains.
   */
  private boolean mustHoldPart(SuspectRequest part) {
    int lossesToHold = part.hasBeenServed() ? LOSSES_TO_HOLD_SERVED_PART : LOSSES_TO_HOLD;
    return part.losses() >= lossesToHold
        && part.lossesAt(upstream -> !isExplainedByLikelier(part, upstream)) >= lossesToHold;
  }

  private boolean isExplainedByLikelier(SuspectRequest part, UpstreamIncarnation upstream) {
    return byUpstream.getOrDefault(upstream, Set.of()).stream()
        .map(suspects::get)
        .filter(other -> other.isLost(upstream) && other.losses() >= LOSSES_TO_EXPLAIN)
        .anyMatch(other -> isLikelier(other, part));
  }

  /**
   * Returns whether a suspect is likelier to have caused losses than a part: one that was never
   * answered, then one with more losses, then a request before its parts.
   */
  private static boolean isLikelier(SuspectRequest other, SuspectRequest part) {
    if (other.hasBeenServed() != part.hasBeenServed()) {
      return part.hasBeenServed();
    }
    return other.losses() == part.losses() ? !other.isPart() : other.losses() > part.losses();
  }

  /**
   * Returns whether a request, or each request with a part, must be held.
   *
   * @param request the request or the part
   * @return true if it has reached the number of losses at which it is held
   */
  public boolean mustHold(Fingerprint request) {
    SuspectRequest suspect = suspects.get(request);
    if (suspect == null) {
      return false;
    }
    return suspect.isPart() ? mustHoldPart(suspect) : suspect.losses() >= LOSSES_TO_HOLD;
  }

  /**
   * Returns the parts of prompts that must be held.
   *
   * @return the parts with the customers whose prompts hold them
   */
  public Map<Fingerprint, Optional<CustomerId>> findPartsToHold() {
    Map<Fingerprint, Optional<CustomerId>> found = new LinkedHashMap<>();
    suspects.forEach(
        (part, suspect) -> {
          if (suspect.isPart() && mustHoldPart(suspect)) {
            found.put(part, suspect.customer());
          }
        });
    return found;
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
          if (!suspect.isPart() && suspect.losses() >= LOSSES_TO_HOLD) {
            found.put(request, suspect.customer());
          }
        });
    return found;
  }

  /**
   * Returns the suspects whose latest loss is after a given time.
   *
   * @param sinceNs the time
   * @return those of the requests that have at least one loss that is not excused
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
   * Returns the suspects whose latest loss is before a given time.
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
   * Returns the time of the latest loss of a request.
   *
   * @param request a request that is tracked
   * @return monotonic time in nanoseconds
   */
  public long newestLossNs(Fingerprint request) {
    return suspects.get(request).newestNs();
  }

  /**
   * Returns all losses that are not excused.
   *
   * @param nowNs monotonic time
   * @return the losses
   */
  public List<Loss> all(long nowNs) {
    List<Loss> all = new ArrayList<>();
    for (SuspectRequest suspect : suspects.values()) {
      suspect
          .counted()
          .forEach(
              (upstream, atNs) ->
                  all.add(
                      new Loss(
                          suspect.request(),
                          suspect.customer(),
                          upstream,
                          Math.max(0, (nowNs - atNs) / NS_PER_MS),
                          suspect.evidence(nowNs))));
    }
    return all;
  }

  /**
   * Removes the suspects whose latest loss is older than the retention time.
   *
   * @param nowNs monotonic time
   */
  public void removeExpired(long nowNs) {
    suspects.values().stream()
        .filter(suspect -> nowNs - suspect.newestNs() > retentionNs)
        .toList()
        .forEach(this::remove);
  }

  private void remove(SuspectRequest suspect) {
    suspects.remove(suspect.request());
    suspectsByScope.computeIfPresent(
        suspect.request().scope(), (scope, count) -> count == 1 ? null : count - 1);
    byOwner.computeIfPresent(
        new Owner(suspect.customer(), suspect.isPart()),
        (owner, ofOwner) -> {
          ofOwner.remove(suspect.request());
          return ofOwner.isEmpty() ? null : ofOwner;
        });
    for (UpstreamIncarnation upstream : suspect.upstreams()) {
      byUpstream.computeIfPresent(
          upstream,
          (key, requests) -> {
            requests.remove(suspect.request());
            return requests.isEmpty() ? null : requests;
          });
    }
  }
}
