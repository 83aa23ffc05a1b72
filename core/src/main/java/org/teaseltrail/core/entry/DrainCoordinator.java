package org.teaseltrail.core.entry;

import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.request.Millis;

/**
 * Coordinates the graceful shutdown of an entry VM: readiness ends at once, the listener closes
 * after the load balancer's delay, and the process exits when no request is waiting or running.
 *
 * <p>The listener stays open at first because the load balancer continues to send requests until it
 * detects that the VM is not ready; these would fail if the listener closed at once.
 */
final class DrainCoordinator {

  /** Maximum time to wait for the leader to receive the last reports. */
  static final long LAST_REPORTS_MS = 3_000;

  private final EntryComponents parts;
  private boolean requested;
  private boolean listenerClosed;
  private boolean exited;
  private long closeListenerNs;
  private long idleSinceNs;
  private boolean idle;

  DrainCoordinator(EntryComponents parts) {
    this.parts = parts;
  }

  void request(long nowNs) {
    if (!requested) {
      requested = true;
      closeListenerNs = nowNs + Millis.toNanos(parts.settings.balancerDelayMs());
      log("step=not-ready");
    }
  }

  void advance(long nowNs) {
    if (requested && !listenerClosed && nowNs >= closeListenerNs) {
      listenerClosed = true;
      parts.actions.add(new EntryAction.CloseListener());
      log("step=listener-closed running=" + parts.requests.size());
    }
    if (listenerClosed && !exited) {
      exitWhenIdle(nowNs);
    }
  }

  private void exitWhenIdle(long nowNs) {
    if (parts.requests.size() > 0) {
      idle = false;
      return;
    }
    idleSinceNs = idle ? idleSinceNs : nowNs;
    idle = true;
    boolean reported =
        parts.endedReports.isEmpty() || nowNs - idleSinceNs >= Millis.toNanos(LAST_REPORTS_MS);
    if (reported) {
      exited = true;
      parts.actions.add(new EntryAction.Exit());
      log("step=exit");
    }
  }

  private void log(String reason) {
    parts.actions.log(EntryDecisionKind.DRAIN, Optional.empty(), reason);
  }

  boolean isRequested() {
    return requested;
  }

  boolean isListenerClosed() {
    return listenerClosed;
  }

  OptionalLong nextWakeupNs() {
    if (requested && !listenerClosed) {
      return OptionalLong.of(closeListenerNs);
    }
    return idle && !exited
        ? OptionalLong.of(idleSinceNs + Millis.toNanos(LAST_REPORTS_MS))
        : OptionalLong.empty();
  }
}
