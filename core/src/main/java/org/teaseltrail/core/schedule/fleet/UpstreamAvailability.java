package org.teaseltrail.core.schedule.fleet;

import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.schedule.ticket.Nanos;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.UpstreamPhase;

/** Knows whether an upstream may be given work: by its own word, the operators' and its silence. */
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

  /** Notes that a VM knows the upstream as leaving; holds until its next announcement. */
  void markLeaving() {
    reportedLeaving = true;
  }

  /** Notes that a later life has taken its place: this one never serves again. */
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
   * Keeps work away for a while, each time in a row for longer. Guards against an upstream that
   * fails at once: its slots are always free, so it would draw and fail all of the work. After the
   * while it gets one request at a time until one has worked.
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

  /** Returns whether the last that is known of its work is a failure. */
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
