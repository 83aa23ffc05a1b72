package org.teaseltrail.core.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.teaseltrail.core.id.ServiceId;

/**
 * Tells for which services with dealt slots the leader allocates all slots: those for which
 * requests still wait after it has granted every free slot.
 *
 * <p>A request that only finds the dealt slots of its own VM in use is granted another one within a
 * round trip, and the other VMs continue to place requests by themselves.
 */
final class ContentionMonitor {

  /** Time for which requests wait continuously before the leader allocates all slots. */
  private static final long START_NS = 150_000_000L;

  /**
   * Time without a waiting request after which VMs place requests by themselves again: two usual
   * sync intervals of a VM.
   */
  private static final long END_NS = 500_000_000L;

  /**
   * Time after the announcement until all VMs have reported what they used before: their usual sync
   * interval, and a fifth more for slow ones.
   */
  private static final long REPORTS_NS = 300_000_000L;

  private final Map<ServiceId, Long> contendedSinceNs = new HashMap<>();
  private final Map<ServiceId, Long> waitingSinceNs = new HashMap<>();
  private final Map<ServiceId, Long> contendedUntilNs = new HashMap<>();

  /** Records whether requests for a service wait although its free slots have been granted. */
  void record(ServiceId service, boolean isWaiting, long nowNs) {
    if (!isWaiting) {
      waitingSinceNs.remove(service);
      return;
    }
    long sinceNs = waitingSinceNs.computeIfAbsent(service, key -> nowNs);
    if (nowNs - sinceNs >= START_NS || isContended(service, nowNs)) {
      if (!isContended(service, nowNs)) {
        contendedSinceNs.put(service, nowNs);
      }
      contendedUntilNs.put(service, nowNs + END_NS);
    }
  }

  /** Removes the services for which no request waits. */
  void retainWaiting(Set<ServiceId> services) {
    waitingSinceNs.keySet().retainAll(services);
  }

  private boolean isContended(ServiceId service, long nowNs) {
    return nowNs < contendedUntilNs.getOrDefault(service, Long.MIN_VALUE);
  }

  /** Returns whether all VMs have stopped using slots by themselves, and have reported since. */
  boolean isReported(ServiceId service, long nowNs) {
    return isContended(service, nowNs) && nowNs - contendedSinceNs.get(service) >= REPORTS_NS;
  }

  /** Returns the services whose slots the leader allocates. */
  Set<ServiceId> contended(long nowNs) {
    contendedUntilNs.values().removeIf(untilNs -> nowNs >= untilNs);
    return new HashSet<>(contendedUntilNs.keySet());
  }
}
