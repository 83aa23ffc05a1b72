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
 * Keeps one life of an upstream: what it last announced, whether operators allow it, the work in
 * flight there, its speed and its cache. The work in flight is the scheduler's own account; reports
 * only correct it, the less the older they are.
 */
public final class TrackedUpstream {

  /** Age from which a load report says nothing about the present. */
  private static final long REPORT_MAX_AGE_NS = 3_000_000_000L;

  /** Part of the prefill bound up to which a prompt, or what is ahead of one, counts as short. */
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

  /** Returns the name of the upstream. */
  public UpstreamId id() {
    return id;
  }

  /** Returns the newest announcement; null before the first. */
  public Announcement announcement() {
    return availability.announcement();
  }

  /** Returns how its speed compares with the pool's. */
  public SpeedState state() {
    return state;
  }

  /** Returns the requests in flight. */
  public int inFlightCount() {
    return inFlightTracker.count();
  }

  /** Returns the tokens that the requests in flight may come to hold. */
  public long footprintTokens() {
    return inFlightTracker.footprintTokens();
  }

  /** Returns the prompt tokens granted and not yet known to be processed. */
  public long prefillTokens() {
    return inFlightTracker.prefillTokens();
  }

  /** Returns the learned window on tokens in flight. */
  public long windowTokens() {
    return window.tokens();
  }

  /** Returns whether the upstream wants work, may have it and is known to be alive. */
  public boolean isServing(long nowNs) {
    return availability.isServing(nowNs);
  }

  /** Returns whether it may be granted work now: it serves and no grant there failed just now. */
  public boolean isGrantable(long nowNs) {
    return availability.isGrantable(nowNs);
  }

  /** Returns whether its batch has a free place, whatever else may speak against a grant. */
  boolean hasBatchRoom() {
    return announcement() != null && inFlightTracker.count() < announcement().maxBatch();
  }

  /** Returns whether it may run one request more, whatever that is. */
  public boolean hasFreeSlot(long nowNs) {
    int slots = availability.isSuspect() ? 1 : state.slots(announcement().maxBatch());
    int foreign = untrackedUntilNs > nowNs ? untrackedRequests : 0;
    return inFlightTracker.count() + foreign < slots;
  }

  /** Returns whether a ticket fits the window. */
  public boolean fitsWindow(long ticketTokens) {
    return !policy.tokenWindow()
        || inFlightTracker.count() == 0
        || inFlightTracker.footprintTokens() + ticketTokens <= window.tokens();
  }

  /**
   * Returns whether a prompt can be processed without stalling others for long. Short prompts
   * always can; long ones may not pile up.
   *
   * @param uncachedTokens prompt tokens to process
   */
  public boolean fitsPrefill(int uncachedTokens) {
    if (!policy.prefillBound()) {
      return true;
    }
    double bound = policy.prefillBoundMs() * US_PER_MS / prefillUs();
    double ahead = inFlightTracker.prefillTokens();
    double share = SHORT_PROMPT_RATIO * bound;
    return uncachedTokens <= share || ahead <= share || ahead + uncachedTokens <= bound;
  }

  /** Returns how many tokens of a ticket's prompt its cache is expected to save. */
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

  /** Returns the time per token at a batch, in milliseconds. */
  public double stepMs(int batch) {
    double measured = speed.stepMs(batch);
    return measured > 0 ? measured : typicalSpeed.stepMs();
  }

  /** Returns the usual time from a dispatch to the end, in milliseconds; zero if not known. */
  public double serviceTimeMs() {
    return speed.serviceTimeMs();
  }

  /** Returns when it was last granted work, in monotonic nanoseconds. */
  public long lastGrantNs() {
    return lastGrantNs;
  }

  /** Returns whether it has what the target asks for loaded. */
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
   * Corrects the account by a report: work there that was not granted here (by an older scheduler,
   * say) takes slots for as long as the report is of use. The greatest recent count stands against
   * the report, for the report is older than the account.
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

  void setTypicalSpeed(EngineSpeed newOrdinary) {
    typicalSpeed = newOrdinary;
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
   * Takes what was seen in an answer.
   *
   * @param tokenMs time per token, in milliseconds
   * @param quiet whether no long prompt was processed meanwhile
   * @param nowNs monotonic time in nanoseconds
   */
  void recordTokenTime(double tokenMs, boolean quiet, long nowNs) {
    speed.token(inFlightTracker.count(), tokenMs, quiet);
    window.addSample(tokenMs, inFlightTracker.footprintTokens(), nowNs);
  }
}
