package org.teaseltrail.core.schedule.fleet;

import java.util.HashSet;
import java.util.Set;
import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;
import org.teaseltrail.core.schedule.ticket.Nanos;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.UpstreamPhase;

/**
 * Keeps one life of an upstream: what it last announced, whether operators allow it, and the work
 * in flight there. The work in flight is the scheduler's own account; reports only correct it.
 */
public final class UpstreamAccount {

  private final UpstreamId id;
  private final Set<InFlight> inFlight = new HashSet<>();
  private Announcement announcement;
  private long heardNs;
  private long goodUntilNs = Long.MIN_VALUE;
  private boolean allowed;
  private boolean draining;
  private long backoffUntilNs = Long.MIN_VALUE;
  private long footprintTokens;
  private long prefillTokens;

  UpstreamAccount(UpstreamId id) {
    this.id = id;
  }

  /** Returns the name of the upstream. */
  public UpstreamId id() {
    return id;
  }

  /** Returns the newest announcement; null before the first. */
  public Announcement announcement() {
    return announcement;
  }

  /** Returns when the newest announcement was heard, in monotonic nanoseconds. */
  public long heardNs() {
    return heardNs;
  }

  /** Returns the requests in flight. */
  public int inFlightCount() {
    return inFlight.size();
  }

  /** Returns the tokens that the requests in flight may come to hold. */
  public long footprintTokens() {
    return footprintTokens;
  }

  /** Returns the prompt tokens granted and not yet known to be processed. */
  public long prefillTokens() {
    return prefillTokens;
  }

  /** Returns whether the upstream wants work, may have it and is known to be alive. */
  public boolean isServing(long nowNs) {
    return announcement != null
        && announcement.phase() == UpstreamPhase.SERVING
        && allowed
        && !draining
        && goodUntilNs > nowNs;
  }

  /** Returns whether it may be granted work now: it serves and no grant there failed just now. */
  public boolean isGrantable(long nowNs) {
    return isServing(nowNs) && backoffUntilNs <= nowNs;
  }

  /** Returns whether a slot is free in its batch. */
  public boolean hasSlot() {
    return inFlight.size() < announcement.maxBatch();
  }

  /** Returns whether it has what the target asks for loaded. */
  public boolean serves(RouteTarget target) {
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

  void announce(Announcement newer, long heardNs) {
    this.announcement = newer;
    this.heardNs = heardNs;
    this.goodUntilNs = Nanos.plus(heardNs, Nanos.fromMs(newer.lifetimeMs()));
  }

  void allow(boolean allowed, boolean draining) {
    this.allowed = allowed;
    this.draining = draining;
  }

  void backOffUntil(long untilNs) {
    this.backoffUntilNs = untilNs;
  }

  boolean isNewer(Announcement other) {
    return announcement == null || other.sequence() > announcement.sequence();
  }

  boolean isLaterLife(Incarnation other) {
    return announcement != null && other.compareTo(announcement.incarnation()) > 0;
  }

  boolean isEarlierLife(Incarnation other) {
    return announcement != null && other.compareTo(announcement.incarnation()) < 0;
  }

  InFlight add(TrackedTicket ticket, int cachedTokens, long nowNs) {
    InFlight part = new InFlight(ticket, this, cachedTokens, nowNs);
    inFlight.add(part);
    footprintTokens += part.footprintTokens();
    prefillTokens += part.prefillTokens();
    return part;
  }

  void start(InFlight part) {
    if (!part.isStarted()) {
      part.markStarted();
      prefillTokens -= part.prefillTokens();
    }
  }

  void remove(InFlight part) {
    Invariant.check(inFlight.remove(part), InvariantName.IN_FLIGHT_ACCOUNT_BALANCES);
    footprintTokens -= part.footprintTokens();
    if (!part.isStarted()) {
      prefillTokens -= part.prefillTokens();
    }
    checkBalance();
  }

  private void checkBalance() {
    boolean sane = footprintTokens >= 0 && prefillTokens >= 0;
    boolean zero = footprintTokens == 0 && prefillTokens == 0;
    Invariant.check(
        sane && (zero || !inFlight.isEmpty()), InvariantName.IN_FLIGHT_ACCOUNT_BALANCES);
  }

  /** Checks that the account equals the sum of its parts; linear in the parts. */
  void audit() {
    long footprint = inFlight.stream().mapToLong(InFlight::footprintTokens).sum();
    long prefill =
        inFlight.stream().filter(p -> !p.isStarted()).mapToLong(InFlight::prefillTokens).sum();
    Invariant.check(
        footprint == footprintTokens && prefill == prefillTokens,
        InvariantName.IN_FLIGHT_ACCOUNT_BALANCES);
  }
}
