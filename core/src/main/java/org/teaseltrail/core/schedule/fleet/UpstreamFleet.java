package org.teaseltrail.core.schedule.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.schedule.prefix.PrefixDirectory;
import org.teaseltrail.core.schedule.ticket.EngineSpeed;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.CacheEvent;

/**
 * The upstreams of a pool with all in-flight requests. As the aggregate root, it is the only way to
 * add a request to an upstream or to remove it.
 */
public final class UpstreamFleet {

  /** Maximum number of prefix blocks whose holders are kept; bounds the scheduler's memory. */
  private static final int MAX_DIRECTORY_BLOCKS = 65_536;

  private final PoolId pool;
  private final FleetPolicy policy;
  private final Map<UpstreamId, TrackedUpstream> accounts = new LinkedHashMap<>();
  private final Map<RequestId, InFlightRequest> inFlight = new LinkedHashMap<>();
  private final Map<RouteTarget, TargetGroup> groups = new HashMap<>();
  private final PrefixDirectory<TrackedUpstream> prefixDirectory =
      new PrefixDirectory<>(MAX_DIRECTORY_BLOCKS);
  private final StragglerDetector stragglerDetector = new StragglerDetector();
  private EngineSpeed typicalSpeed = EngineSpeed.ASSUMED;
  private int servingCount;
  private Configuration configuration = Configuration.empty();

  /** Creates an empty fleet. */
  public UpstreamFleet(PoolId pool, FleetPolicy policy) {
    this.pool = pool;
    this.policy = policy;
  }

  /** Applies a configuration: which upstreams are allowed and which are to drain. */
  public void configure(Configuration newer) {
    configuration = newer;
    accounts.values().forEach(this::applyConfiguration);
    accounts.values().removeIf(a -> !isAllowed(a.id()) && a.inFlightCount() == 0);
    groups.clear();
  }

  /**
   * Applies an announcement; an older or repeated one is ignored.
   *
   * @param announcement the upstream's announcement
   * @param heardNs when a VM received it, in monotonic nanoseconds
   * @param nowNs monotonic time in nanoseconds
   * @return whether it changes the upstream's phase
   */
  public boolean announce(Announcement announcement, long heardNs, long nowNs) {
    if (!isAllowed(announcement.upstream()) && !accounts.containsKey(announcement.upstream())) {
      return false;
    }
    TrackedUpstream account = account(announcement.upstream());
    if (account.isEarlierIncarnation(announcement.incarnation())) {
      return false;
    }
    if (account.isLaterIncarnation(announcement.incarnation())) {
      account = startIncarnation(account.id());
    }
    if (!account.availability().isNewer(announcement)) {
      return false;
    }
    Announcement before = account.announcement();
    account.announce(announcement, heardNs, nowNs);
    if (before == null || changesWhatIsServed(before, announcement)) {
      groups.clear();
    }
    boolean changed = before == null || before.phase() != announcement.phase();
    if (changed) {
      countServing(nowNs);
    }
    return changed;
  }

  private static boolean changesWhatIsServed(Announcement before, Announcement after) {
    return before.maxBatch() != after.maxBatch()
        || !before.models().equals(after.models())
        || !before.service().equals(after.service());
  }

  /** Applies a cache event; one of another incarnation than the current one is ignored. */
  public void applyCacheEvent(CacheEvent event) {
    TrackedUpstream account = accounts.get(event.upstream());
    boolean current =
        account != null
            && account.announcement() != null
            && account.announcement().incarnation().equals(event.incarnation());
    if (policy.prefixAffinity() && current) {
      account.applyCacheEvent(event);
      prefixDirectory.add(event.storedBlocks(), account);
    }
  }

  /** Returns the group of upstreams that have the target loaded, serving or not. */
  public TargetGroup group(RouteTarget target) {
    return groups.computeIfAbsent(target, this::findGroup);
  }

  private TargetGroup findGroup(RouteTarget target) {
    return new TargetGroup(accounts.values().stream().filter(a -> a.serves(target)).toList());
  }

  /** Returns upstreams that are known to have cached the longest known prefix of the prompt. */
  public List<TrackedUpstream> prefixHolders(TrackedTicket ticket) {
    return policy.prefixAffinity()
        ? prefixDirectory.holdersOf(ticket.ticket().prefixBlocks())
        : List.of();
  }

  /** Returns the record of an upstream's current incarnation, and creates it if there is none. */
  public TrackedUpstream account(UpstreamId id) {
    TrackedUpstream account = accounts.get(id);
    return account == null ? startIncarnation(id) : account;
  }

  /** Returns the current records of all upstreams. */
  public Collection<TrackedUpstream> accounts() {
    return accounts.values();
  }

  /** Returns how many upstreams were serving at the last review or phase change. */
  public int servingCount() {
    return servingCount;
  }

  private void countServing(long nowNs) {
    servingCount = (int) accounts.values().stream().filter(a -> a.isServing(nowNs)).count();
  }

  /** Returns the speed of a typical upstream of the pool. */
  public EngineSpeed typicalSpeed() {
    return typicalSpeed;
  }

  /**
   * Calculates the pool's typical speed, classifies each upstream by it and returns the changes.
   */
  public List<SpeedStateChange> reviewSpeeds(long nowNs) {
    typicalSpeed = MedianSpeedCalculator.calculate(accounts.values());
    accounts.values().forEach(a -> a.setTypicalSpeed(typicalSpeed));
    countServing(nowNs);
    return policy.detectStragglers()
        ? stragglerDetector.review(accounts.values(), nowNs)
        : List.of();
  }

  /**
   * Reserves capacity of an upstream for a ticket.
   *
   * @param ticket the ticket
   * @param upstream the upstream
   * @param cachedTokens prompt tokens that are expected to be in its prefix cache
   * @param nowNs monotonic time in nanoseconds
   * @return the request, now in flight
   */
  public InFlightRequest grant(
      TrackedTicket ticket, TrackedUpstream upstream, int cachedTokens, long nowNs) {
    // A request granted to an upstream that shuts down would be aborted there. The selector already
    // filters such upstreams; this check turns a fault in it into a violation, not a lost answer.
    Invariant.check(upstream.isServing(nowNs), InvariantName.NO_GRANT_TO_LEAVING_UPSTREAM);
    Invariant.check(upstream.hasFreeSlot(nowNs), InvariantName.WINDOW_NOT_EXCEEDED);
    Invariant.check(
        upstream.fitsWindow(ticket.footprintTokens()), InvariantName.WINDOW_NOT_EXCEEDED);
    return add(ticket, upstream, cachedTokens, nowNs);
  }

  /** Adds a request that was dispatched under an earlier scheduler. */
  public InFlightRequest adopt(TrackedTicket ticket, UpstreamId upstream, long grantedNs) {
    return add(ticket, account(upstream), 0, grantedNs);
  }

  private InFlightRequest add(
      TrackedTicket ticket, TrackedUpstream upstream, int cached, long nowNs) {
    Invariant.check(!inFlight.containsKey(ticket.request()), InvariantName.ONE_GRANT_PER_TICKET);
    InFlightRequest part = upstream.add(ticket, cached, nowNs);
    inFlight.put(ticket.request(), part);
    groups.values().forEach(group -> group.update(upstream));
    if (policy.prefixAffinity()) {
      prefixDirectory.add(ticket.ticket().prefixBlocks(), upstream);
    }
    return part;
  }

  /** Returns a request if it is in flight. */
  public Optional<InFlightRequest> find(RequestId request) {
    return Optional.ofNullable(inFlight.get(request));
  }

  /** Returns all in-flight requests of a VM. */
  public List<InFlightRequest> inFlightOfVm(VmId vm) {
    return inFlight.values().stream().filter(p -> p.vm().equals(vm)).toList();
  }

  /** Returns how many requests are in flight. */
  public int inFlightCount() {
    return inFlight.size();
  }

  /** Records that the first token of a request has arrived. */
  public void onFirstToken(InFlightRequest part, double sinceDispatchMs, long nowNs) {
    part.heard(nowNs);
    part.upstream().inFlightTracker().start(part, nowNs);
    part.firstToken(sinceDispatchMs, nowNs);
    part.upstream().availability().recordSuccess();
  }

  /** Records how many output tokens of a request have arrived. */
  public void onProgress(InFlightRequest part, int outputTokens, long nowNs) {
    part.heard(nowNs);
    if (outputTokens > 0) {
      part.upstream().inFlightTracker().start(part, nowNs);
    }
    SpeedSampler.sampleProgress(part, outputTokens, nowNs);
    part.progress(outputTokens, nowNs);
  }

  /** Removes an ended request, and updates its upstream's speed, cache model and back-off. */
  public void onEnded(InFlightRequest part, EntryMessage.Ended ended, long nowNs) {
    remove(part, nowNs);
    if (ended.kind() == EndKind.FAILED) {
      part.upstream().availability().backOff(nowNs);
    }
    if (ended.kind() == EndKind.COMPLETED) {
      part.upstream().availability().recordSuccess();
      if (ended.hasKnownDuration()) {
        SpeedSampler.completed(part, ended, nowNs);
      }
    }
  }

  /** Removes a request and releases its capacity. */
  public void remove(InFlightRequest part, long nowNs) {
    inFlight.remove(part.request());
    part.upstream().inFlightTracker().remove(part, nowNs);
    groups.values().forEach(group -> group.update(part.upstream()));
  }

  /** Ejects an upstream for a back-off time, after a grant for it was declined. */
  public void backOff(TrackedUpstream upstream, long nowNs) {
    upstream.availability().backOff(nowNs);
  }

  /** Stops granting work to an upstream until its next announcement. */
  public void leaving(TrackedUpstream upstream) {
    upstream.availability().markLeaving();
  }

  /** Checks the sums of every upstream against its requests; linear in the requests in flight. */
  public void audit() {
    accounts.values().forEach(a -> a.inFlightTracker().audit());
  }

  private TrackedUpstream startIncarnation(UpstreamId id) {
    TrackedUpstream before = accounts.get(id);
    if (before != null) {
      before.availability().retire();
    }
    TrackedUpstream account = new TrackedUpstream(id, policy);
    account.setTypicalSpeed(typicalSpeed);
    applyConfiguration(account);
    accounts.put(id, account);
    groups.clear();
    return account;
  }

  private void applyConfiguration(TrackedUpstream account) {
    boolean allowed = isAllowed(account.id());
    boolean draining = allowed && configuration.upstreams().get(account.id()).draining();
    account.availability().setAdminState(allowed, draining);
  }

  private boolean isAllowed(UpstreamId id) {
    AllowedUpstream entry = configuration.upstreams().get(id);
    return entry != null && entry.pool().equals(pool);
  }
}
