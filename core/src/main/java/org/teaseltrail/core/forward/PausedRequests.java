package org.teaseltrail.core.forward;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.quarantine.SuspectCopies;
import org.teaseltrail.core.suspect.QuarantineTracker;

/**
 * Requests that wait at this VM until the leader has decided whether they are quarantined. They are
 * kept apart from the queues, where they would count as demand for slots.
 */
final class PausedRequests {

  private final QuarantineTracker quarantine;
  private final Map<Long, ActiveRequest> paused = new LinkedHashMap<>();

  PausedRequests(QuarantineTracker quarantine) {
    this.quarantine = quarantine;
  }

  /**
   * Pauses a request that is undecided, unless the leader permits a trial of it; returns whether it
   * is paused.
   */
  boolean pauseIfUndecided(ActiveRequest request, long nowNs) {
    boolean isPaused =
        quarantine.isUndecided(request) && !quarantine.useTrialPermit(request, nowNs);
    if (isPaused) {
      paused.put(request.number(), request);
    }
    return isPaused;
  }

  void remove(ActiveRequest request) {
    paused.remove(request.number());
  }

  /** Counts the copies of undecided requests, which tell the leader how frequent each is. */
  void reportCopies(Collection<ActiveRequest> admitted) {
    Map<Fingerprint, SuspectCopies> copies = new LinkedHashMap<>();
    if (quarantine.hasUndecided()) {
      for (ActiveRequest request : admitted) {
        if (quarantine.isUndecided(request)) {
          int waiting = paused.containsKey(request.number()) ? 1 : 0;
          SuspectCopies copy = new SuspectCopies(request.fingerprint(), waiting, 1 - waiting);
          copies.merge(request.fingerprint(), copy, SuspectCopies::plus);
        }
      }
    }
    quarantine.setCopies(List.copyOf(copies.values()));
  }

  /** Removes and returns the requests that need not wait any longer, the oldest first. */
  List<ActiveRequest> takeDecided() {
    List<ActiveRequest> decided =
        paused.values().stream().filter(request -> !quarantine.isUndecided(request)).toList();
    decided.forEach(this::remove);
    return decided;
  }

  /** Removes and returns the oldest request with this content. */
  Optional<ActiveRequest> takeOldest(Fingerprint content) {
    Optional<ActiveRequest> oldest =
        paused.values().stream()
            .filter(request -> request.fingerprint().equals(content))
            .findFirst();
    oldest.ifPresent(this::remove);
    return oldest;
  }
}
