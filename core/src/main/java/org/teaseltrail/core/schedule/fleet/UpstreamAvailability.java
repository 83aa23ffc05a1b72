package org.teaseltrail.core.schedule.fleet;

import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.schedule.ticket.Nanos;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.UpstreamPhase;

/**
 * Determines whether an upstream may be granted work: from its announcements and their expiry, the
 * operators' configuration and the failures of its requests.
 */
final class UpstreamAvailability {

  private static final long MIN_BACKOFF_MS = 250;
  private static final long MAX_BACKOFF_MS = 8_000;

  private Announcement announcement;
  private long announcementExpiryNs = Long.MIN_VALUE;
  private boolean allowed;
  private boolean draining;
  private boolean reportedLeaving;
  private long backoffMs;
  private long backoffUntilNs = Long.MIN_VALUE;

  Announcement announcement() {
    return announcement;
  }

  boolean isNewer(Announcement other) {
    return announcement == null || other.sequence() > announcement.sequence();
  }

  void announce(Announcement newer, long heardNs) {
    announcement = newer;
    announcementExpiryNs = Nanos.plus(heardNs, Nanos.fromMs(newer.lifetimeMs()));
    reportedLeaving = false;
  }

  void setAdminState(boolean nowAllowed, boolean nowDraining) {
    allowed = nowAllowed;
    draining = nowDraining;
  }

  /** Records that a VM reported the upstream as leaving; applies until its next announcement. */
  void markLeaving() {
    reportedLeaving = true;
  }

  /** Records that a later incarnation has replaced this one, which never serves again. */
  void retire() {
    announcement = null;
  }

  boolean isServing(long nowNs) {
    return announcement != null
        && announcement.phase() == UpstreamPhase.SERVING
        && allowed
        && !draining
        && !reportedLeaving
        && announcementExpiryNs > nowNs;
  }

  boolean isGrantable(long nowNs) {
    return backoffUntilNs <= nowNs && isServing(nowNs);
  }

  /**
   * Ejects the upstream for a time that doubles with each failure in a row. An upstream whose
   * requests fail immediately always has free slots, so it would otherwise attract and fail all of
   * the work. After the time it receives one request at a time until one has succeeded.
   */
  void backOff(long nowNs) {
    if (nowNs < backoffUntilNs) {
      return;
    }
    backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(MIN_BACKOFF_MS, 2 * backoffMs));
    backoffUntilNs = nowNs + Nanos.fromMs(backoffMs);
  }

  void recordSuccess() {
    backoffMs = 0;
  }

  /** Returns whether a request has failed and none has succeeded since. */
  boolean isSuspect() {
    return backoffMs > 0;
  }

  boolean serves(RouteTarget target) {
    if (announcement == null) {
      return false;
    }
    if (target instanceof RouteTarget.ServiceTarget service) {
      return announcement.service().filter(service.service()::equals).isPresent();
    }
    RouteTarget.ModelTarget wanted = (RouteTarget.ModelTarget) target;
    return announcement.models().stream().anyMatch(loaded -> matches(loaded, wanted));
  }

  private static boolean matches(ServedModel loaded, RouteTarget.ModelTarget wanted) {
    return loaded.model().equals(wanted.model())
        && loaded.version().equals(wanted.version())
        && wanted.adapter().map(loaded.adapters()::contains).orElse(true);
  }
}
