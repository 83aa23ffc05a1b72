package org.teaseltrail.standin.model;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.LoadReport;

/** Reports an engine to the entry VMs: announcements with stale load, and late cache events. */
final class EngineReporter {

  private static final long NS_PER_MS = 1_000_000;

  private final EngineSettings settings;
  private final LoadHistory loads;
  private final CacheEventPublisher cacheEvents;
  private UpstreamIdentity identity;
  private long nextAnnounceNs;
  private long sequence;

  EngineReporter(EngineSettings settings, long startNs) {
    this.settings = settings;
    this.loads = new LoadHistory(settings.reporting().loadLagMs(), startNs);
    this.cacheEvents = new CacheEventPublisher(settings.reporting(), settings.seed(), startNs);
    this.identity = settings.identity();
    this.nextAnnounceNs = startNs;
  }

  /** Makes the next call of {@link #advance} announce, regardless of the interval. */
  void announceNow(long nowNs) {
    nextAnnounceNs = nowNs;
  }

  /**
   * Adds the announcements and cache events that are due. The status is computed only if needed, as
   * that iterates over the queue.
   */
  void advance(
      Supplier<EngineStatus> status, PrefixCache cache, long nowNs, List<EngineAction> actions) {
    if (loads.isSampleDue(nowNs)) {
      loads.sample(status.get().load(), nowNs);
    }
    cacheEvents
        .advance(identity, cache, nowNs)
        .forEach(event -> actions.add(new EngineAction.PublishCacheEvent(event)));
    if (nowNs >= nextAnnounceNs) {
      actions.add(new EngineAction.Announce(announcement(status.get(), nowNs)));
      nextAnnounceNs = nowNs + settings.reporting().announceIntervalMs() * NS_PER_MS;
    }
  }

  long nextWakeupNs(PrefixCache cache) {
    OptionalLong cacheNs = cacheEvents.nextWakeupNs(cache);
    long reportNs = Math.min(nextAnnounceNs, loads.nextWakeupNs());
    return Math.min(reportNs, cacheNs.orElse(Long.MAX_VALUE));
  }

  /** Restarts with a new incarnation. */
  void reset(Incarnation incarnation, long nowNs) {
    identity = identity.withIncarnation(incarnation);
    loads.reset(nowNs);
    cacheEvents.reset();
    nextAnnounceNs = nowNs;
    sequence = 0;
  }

  private Announcement announcement(EngineStatus status, long nowNs) {
    sequence++;
    LoadReport load = loads.report(nowNs);
    return new Announcement(
        identity.upstream(),
        identity.incarnation(),
        sequence,
        identity.address(),
        identity.dataCenter(),
        status.role(),
        status.phase(),
        status.models(),
        Optional.empty(),
        settings.hardware().maxBatch(),
        settings.hardware().cacheTokens(),
        load,
        settings.reporting().announcementLifetimeMs());
  }
}
