package org.teaseltrail.core.schedule.fleet;

import java.util.List;
import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.schedule.prefix.PrefixCacheModel;
import org.teaseltrail.core.schedule.ticket.EngineSpeed;
import org.teaseltrail.core.schedule.ticket.Nanos;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.CacheEvent;
import org.teaseltrail.core.upstream.LoadReport;

/**
 * The scheduler's record of one incarnation of an upstream: its last announcement, whether
 * operators allow it, its in-flight requests, its speed and a model of its prefix cache. The
 * scheduler counts the in-flight requests itself; load reports only correct the count, and old ones
 * are ignored.
 */
public final class TrackedUpstream {

  /** Age from which a load report is ignored. */
  private static final long REPORT_MAX_AGE_NS = 3_000_000_000L;

  /** Fraction of the prefill bound up to which a prompt, or the queue ahead of it, is short. */
  private static final double SHORT_PROMPT_RATIO = 0.25;

  private static final double US_PER_MS = 1_000;

  private final UpstreamId id;
  private final FleetPolicy policy;
  private final UpstreamAvailability availability = new UpstreamAvailability();
  private final InFlightTracker inFlightTracker = new InFlightTracker();
  private final SpeedMeter speed = new SpeedMeter();
  private final TokenWindow window;
  private final PrefixCacheModel cache = new PrefixCacheModel();
  private SpeedState state = SpeedState.ORDINARY;
  private EngineSpeed typicalSpeed = EngineSpeed.ASSUMED;
  private int untrackedRequests;
  private long untrackedUntilNs = Long.MIN_VALUE;
  private long lastGrantNs = Long.MIN_VALUE / 2;

  TrackedUpstream(UpstreamId id, FleetPolicy policy) {
    this.id = id;
    this.policy = policy;
    this.window = new TokenWindow(policy.interTokenTargetMs());
  }

  /** Returns the id of the upstream. */
  public UpstreamId id() {
    return id;
  }

  /** Returns the newest announcement; null before the first. */
  public Announcement announcement() {
    return availability.announcement();
  }

  /** Returns its speed state, relative to the pool's median. */
  public SpeedState state() {
    return state;
  }

  /** Returns the number of requests in flight. */
  public int inFlightCount() {
    return inFlightTracker.count();
  }

  /** Returns the maximum number of tokens that the requests in flight may occupy. */
  public long footprintTokens() {
    return inFlightTracker.footprintTokens();
  }

  /** Returns the prompt tokens of granted requests whose first token has not been reported. */
  public long prefillTokens() {
    return inFlightTracker.prefillTokens();
  }

  /** Returns the size of the window on tokens in flight. */
  public long windowTokens() {
    return window.tokens();
  }

  /** Returns whether it is allowed, not draining, and serving by an unexpired announcement. */
  public boolean isServing(long nowNs) {
    return availability.isServing(nowNs);
  }

  /** Returns whether it may be granted work now: it is serving and not in back-off. */
  public boolean isGrantable(long nowNs) {
    return availability.isGrantable(nowNs);
  }

  /** Returns whether its batch has room, regardless of any other limit. */
  boolean hasBatchRoom() {
    return announcement() != null && inFlightTracker.count() < announcement().maxBatch();
  }

  /** Returns whether it may run another request, regardless of that request's size. */
  public boolean hasFreeSlot(long nowNs) {
    int slots = availability.isSuspect() ? 1 : state.slots(announcement().maxBatch());
    int untracked = untrackedUntilNs > nowNs ? untrackedRequests : 0;
    return inFlightTracker.count() + untracked < slots;
  }

  /** Returns whether a ticket fits into the token window. */
  public boolean fitsWindow(long ticketTokens) {
    return !policy.tokenWindow()
        || inFlightTracker.count() == 0
        || inFlightTracker.footprintTokens() + ticketTokens <= window.tokens();
  }

  /**
   * Returns whether a prompt can be processed without stalling other requests for long. Short
   * prompts always can; long prompts must not accumulate.
   *
   * @param uncachedTokens the number of prompt tokens to process
   */
  public boolean fitsPrefill(int uncachedTokens) {
    if (!policy.prefillBound()) {
      return true;
    }
    double boundTokens = policy.prefillBoundMs() * US_PER_MS / prefillUs();
    double aheadTokens = inFlightTracker.prefillTokens();
    double share = SHORT_PROMPT_RATIO * boundTokens;
    return uncachedTokens <= share
        || aheadTokens <= share
        || aheadTokens + uncachedTokens <= boundTokens;
  }

  /** Returns how many tokens of a ticket's prompt are expected to be in its prefix cache. */
  public int cachedTokens(TrackedTicket ticket) {
    List<Long> blocks = ticket.ticket().prefixBlocks();
    if (!policy.prefixAffinity() || blocks.isEmpty()) {
      return 0;
    }
    return cache.cachedTokens(blocks, ticket.ticket().promptTokens());
  }

  /** Returns the time to process a prompt token, in microseconds. */
  public double prefillUs() {
    return speed.prefillUs() > 0 ? speed.prefillUs() : typicalSpeed.prefillUs();
  }

  /** Returns the time per token at a batch size, in milliseconds. */
  public double stepMs(int batch) {
    double measured = speed.stepMs(batch);
    return measured > 0 ? measured : typicalSpeed.stepMs();
  }

  /** Returns the average service time of its requests, in milliseconds; zero if not known. */
  public double serviceTimeMs() {
    return speed.serviceTimeMs();
  }

  /** Returns when it was last granted work, in monotonic nanoseconds. */
  public long lastGrantNs() {
    return lastGrantNs;
  }

  /** Returns whether it has loaded what the target requires. */
  public boolean serves(RouteTarget target) {
    return availability.serves(target);
  }

  UpstreamAvailability availability() {
    return availability;
  }

  SpeedMeter speed() {
    return speed;
  }

  InFlightTracker inFlightTracker() {
    return inFlightTracker;
  }

  PrefixCacheModel cache() {
    return cache;
  }

  boolean isLaterIncarnation(Incarnation other) {
    return announcement() != null && other.compareTo(announcement().incarnation()) > 0;
  }

  boolean isEarlierIncarnation(Incarnation other) {
    return announcement() != null && other.compareTo(announcement().incarnation()) < 0;
  }

  void announce(Announcement newer, long heardNs, long nowNs) {
    availability.announce(newer, heardNs);
    window.size(newer.maxBatch(), newer.cacheTokens());
    cache.setCapacity(newer.cacheTokens());
    correctFromReport(newer.load(), heardNs, nowNs);
  }

  /**
   * Corrects the account by a load report: requests that this scheduler did not grant (but an
   * earlier one, for example) occupy slots until the report is too old. The reported number is
   * compared with the recent peak of the account, because the report describes an earlier state.
   */
  private void correctFromReport(LoadReport load, long heardNs, long nowNs) {
    speed.recordReport(load.runningRequests(), load.stepMs());
    int reported = load.runningRequests() + load.queuedRequests();
    untrackedRequests = Math.max(0, reported - inFlightTracker.recentPeak(nowNs));
    untrackedUntilNs = heardNs - Nanos.fromMs(load.ageMs()) + REPORT_MAX_AGE_NS;
  }

  void applyCacheEvent(CacheEvent event) {
    cache.apply(event);
  }

  void setState(SpeedState newState) {
    state = newState;
  }

  void setTypicalSpeed(EngineSpeed newTypicalSpeed) {
    typicalSpeed = newTypicalSpeed;
  }

  InFlightRequest add(TrackedTicket ticket, int cachedTokens, long nowNs) {
    InFlightRequest part = new InFlightRequest(ticket, this, cachedTokens, nowNs);
    inFlightTracker.add(part, nowNs);
    lastGrantNs = nowNs;
    if (policy.prefixAffinity()) {
      cache.recordPrompt(ticket.ticket().prefixBlocks());
    }
    return part;
  }

  /**
   * Records a time per token that was measured on an answer.
   *
   * @param tokenMs time per token, in milliseconds
   * @param noLongPrefill whether no long prompt was processed meanwhile
   * @param nowNs monotonic time in nanoseconds
   */
  void recordTokenTime(double tokenMs, boolean noLongPrefill, long nowNs) {
    speed.token(inFlightTracker.count(), tokenMs, noLongPrefill);
    window.addSample(tokenMs, inFlightTracker.footprintTokens(), nowNs);
  }
}
