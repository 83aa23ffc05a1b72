package org.teaseltrail.standin.model;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.LoadReport;
import org.teaseltrail.core.upstream.UpstreamPhase;
import org.teaseltrail.core.upstream.UpstreamRole;

/** Produces the announcements of a plain service, with stale load. */
final class ServiceReporter {

  private static final long NS_PER_MS = 1_000_000;

  private final ServiceSettings settings;
  private final LoadHistory loads;
  private UpstreamIdentity identity;
  private long nextAnnounceNs;
  private long sequence;

  ServiceReporter(ServiceSettings settings, long startNs) {
    this.settings = settings;
    this.loads = new LoadHistory(settings.reporting().loadLagMs(), startNs);
    this.identity = settings.identity();
    this.nextAnnounceNs = startNs;
  }

  void announceNow(long nowNs) {
    nextAnnounceNs = nowNs;
  }

  void advance(LoadReport load, UpstreamPhase phase, long nowNs, List<ServiceAction> actions) {
    if (loads.isSampleDue(nowNs)) {
      loads.sample(load, nowNs);
    }
    if (nowNs >= nextAnnounceNs) {
      actions.add(new ServiceAction.Announce(announcement(phase, nowNs)));
      nextAnnounceNs = nowNs + settings.reporting().announceIntervalMs() * NS_PER_MS;
    }
  }

  long nextWakeupNs() {
    return Math.min(nextAnnounceNs, loads.nextWakeupNs());
  }

  /** Restarts with a new incarnation. */
  void reset(Incarnation incarnation, long nowNs) {
    identity = identity.withIncarnation(incarnation);
    loads.reset(nowNs);
    nextAnnounceNs = nowNs;
    sequence = 0;
  }

  private Announcement announcement(UpstreamPhase phase, long nowNs) {
    sequence++;
    return new Announcement(
        identity.upstream(),
        identity.incarnation(),
        sequence,
        identity.address(),
        identity.dataCenter(),
        UpstreamRole.SERVICE,
        phase,
        List.of(),
        Optional.of(settings.service()),
        settings.maxRunning(),
        0,
        loads.report(nowNs),
        settings.reporting().announcementLifetimeMs());
  }
}
