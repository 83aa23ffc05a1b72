package org.teaseltrail.core.entry;

import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.request.Millis;

/**
 * Is the graceful shutdown: not ready at once, no new connections after the balancer's delay, and
 * the end when all that waits and runs has finished.
 *
 * <p>Guards against requests that the balancer still sends while it learns that the VM leaves; they
 * would be cut off if the listener closed at once.
 */
final class DrainCoordinator {

  /** Time that the last reports get to reach a leader. */
  static final long LAST_REPORTS_MS = 3_000;

  private final EntryContext parts;
  private boolean requested;
  private boolean listenerClosed;
  private boolean exited;
  private long closeListenerNs;
  private long idleSinceNs;
  private boolean idle;

  DrainCoordinator(EntryContext parts) {
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
