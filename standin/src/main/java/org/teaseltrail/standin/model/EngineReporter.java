package org.teaseltrail.standin.model;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.LoadReport;

/** Tells the entry VMs of an engine: announcements with stale load, and late cache events. */
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

  /** Announces as soon as it is asked next, out of turn. */
  void announceNow(long nowNs) {
    nextAnnounceNs = nowNs;
  }

  /**
   * Tells what is due. The status is worked out only then, since it costs a walk over the queue.
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
    long ownNs = Math.min(nextAnnounceNs, loads.nextWakeupNs());
    return Math.min(ownNs, cacheNs.orElse(Long.MAX_VALUE));
  }

  /** Starts over as another life. */
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
