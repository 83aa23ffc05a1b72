package org.teaseltrail.core.relay;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.serving.PeerVm;

/** A peer as this VM sees it. */
final class PeerState {

  /** Time for which a peer that couldn't be reached gets no requests. */
  private static final long AVOIDANCE_NS = 1_000_000_000L;

  /** Time for which a peer that has no path to a service either gets no requests for it. */
  private static final long WITHOUT_PATH_NS = 500_000_000L;

  private final Map<ServiceId, Long> withoutPathUntilNs = new HashMap<>();
  private PeerVm peer;
  private long avoidedUntilNs = Long.MIN_VALUE;
  private int outstanding;

  PeerState(PeerVm peer) {
    this.peer = peer;
  }

  PeerVm peer() {
    return peer;
  }

  void update(PeerVm newer) {
    peer = newer;
  }

  boolean isUsable(ServiceId service, long nowNs) {
    return nowNs >= avoidedUntilNs
        && nowNs >= withoutPathUntilNs.getOrDefault(service, Long.MIN_VALUE);
  }

  int outstanding() {
    return outstanding;
  }

  void recordStart() {
    outstanding++;
  }

  /** Records the end of a relay that the caller or this VM has cancelled. */
  void recordCancelled() {
    outstanding--;
  }

  void recordEnd(ServiceId service, RelayOutcome outcome, long nowNs) {
    outstanding--;
    switch (outcome) {
      case DECLINED -> withoutPathUntilNs.put(service, nowNs + WITHOUT_PATH_NS);
      case NOT_CONNECTED, BROKEN -> avoidedUntilNs = nowNs + AVOIDANCE_NS;
      default -> withoutPathUntilNs.remove(service);
    }
  }
}
