package org.teaseltrail.core.schedule.fleet;

import java.util.ArrayList;
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
import org.teaseltrail.core.schedule.ticket.TrackedTicket;
import org.teaseltrail.core.upstream.Announcement;

/**
 * Holds the upstreams of a pool and all work in flight. Root of the aggregate: work enters and
 * leaves an account through it only.
 */
public final class UpstreamFleet {

  private final PoolId pool;
  private final Map<UpstreamId, UpstreamAccount> accounts = new LinkedHashMap<>();
  private final Map<RequestId, InFlight> inFlight = new LinkedHashMap<>();
  private final Map<RouteTarget, List<UpstreamAccount>> groups = new HashMap<>();
  private Configuration configuration = Configuration.empty();

  /** Creates the fleet of a pool, empty. */
  public UpstreamFleet(PoolId pool) {
    this.pool = pool;
  }

  /** Takes a configuration: who is allowed and who is to drain. */
  public void configure(Configuration newer) {
    configuration = newer;
    accounts.values().forEach(this::applyConfiguration);
  }

  /**
   * Takes an announcement; an older or repeated one changes nothing.
   *
   * @param announcement what the upstream says
   * @param heardNs when a VM heard it, in monotonic nanoseconds
   * @return whether it was newer than what was known
   */
  public boolean announce(Announcement announcement, long heardNs) {
    UpstreamAccount account = account(announcement.upstream());
    if (account.isEarlierLife(announcement.incarnation())) {
      return false;
    }
    if (account.isLaterLife(announcement.incarnation())) {
      account = nextLife(account.id());
    }
    if (!account.isNewer(announcement)) {
      return false;
    }
    Announcement before = account.announcement();
    account.announce(announcement, heardNs);
    if (before == null || changesWhatIsServed(before, announcement)) {
      groups.clear();
    }
    return true;
  }

  private static boolean changesWhatIsServed(Announcement before, Announcement after) {
    return !before.models().equals(after.models()) || !before.service().equals(after.service());
  }

  /** Returns the upstreams that have the target loaded, serving or not. */
  public List<UpstreamAccount> group(RouteTarget target) {
    return groups.computeIfAbsent(target, this::findGroup);
  }

  private List<UpstreamAccount> findGroup(RouteTarget target) {
    List<UpstreamAccount> group = new ArrayList<>();
    for (UpstreamAccount account : accounts.values()) {
      if (account.serves(target)) {
        group.add(account);
      }
    }
    return group;
  }

  /** Returns the account of an upstream's present life, made if there is none. */
  public UpstreamAccount account(UpstreamId id) {
    UpstreamAccount account = accounts.get(id);
    return account == null ? nextLife(id) : account;
  }

  /** Returns all accounts. */
  public Collection<UpstreamAccount> accounts() {
    return accounts.values();
  }

  /**
   * Sets an upstream aside for a ticket.
   *
   * @param ticket the ticket
   * @param upstream the upstream
   * @param cachedTokens prompt tokens that its cache is expected to save
   * @param nowNs monotonic time in nanoseconds
   * @return the ticket's part of the account
   */
  public InFlight grant(
      TrackedTicket ticket, UpstreamAccount upstream, int cachedTokens, long nowNs) {
    // Guards against work for an upstream that shuts down, which would be cut off there: the
    // chooser filters too, so a fault there shows here and not as a lost answer.
    Invariant.check(upstream.isServing(nowNs), InvariantName.NO_GRANT_TO_LEAVING_UPSTREAM);
    Invariant.check(upstream.hasSlot(), InvariantName.WINDOW_NOT_EXCEEDED);
    return add(ticket, upstream, cachedTokens, nowNs);
  }

  /** Counts a request that was dispatched under an older scheduler. */
  public InFlight adopt(TrackedTicket ticket, UpstreamAccount upstream, long grantedNs) {
    return add(ticket, upstream, 0, grantedNs);
  }

  private InFlight add(TrackedTicket ticket, UpstreamAccount upstream, int cached, long nowNs) {
    Invariant.check(!inFlight.containsKey(ticket.request()), InvariantName.ONE_GRANT_PER_TICKET);
    InFlight part = upstream.add(ticket, cached, nowNs);
    inFlight.put(ticket.request(), part);
    return part;
  }

  /** Returns the part in flight of a request. */
  public Optional<InFlight> find(RequestId request) {
    return Optional.ofNullable(inFlight.get(request));
  }

  /** Returns all parts in flight of a VM's requests. */
  public List<InFlight> ofVm(VmId vm) {
    return inFlight.values().stream().filter(p -> p.vm().equals(vm)).toList();
  }

  /** Notes that the first token of a request has arrived. */
  public void started(InFlight part, long nowNs) {
    part.heard(nowNs);
    part.upstream().start(part);
  }

  /** Notes how many tokens have arrived. */
  public void progressed(InFlight part, int outputTokens, long nowNs) {
    started(part, nowNs);
    part.setOutputTokens(outputTokens);
  }

  /** Takes a request out of the account. */
  public void remove(InFlight part) {
    inFlight.remove(part.request());
    part.upstream().remove(part);
  }

  /** Keeps work away from an upstream until a time, after a grant there could not be used. */
  public void backOff(UpstreamAccount upstream, long untilNs) {
    upstream.backOffUntil(untilNs);
  }

  /** Checks that every account equals the sum of its parts; linear in the work in flight. */
  public void audit() {
    accounts.values().forEach(UpstreamAccount::audit);
  }

  private UpstreamAccount nextLife(UpstreamId id) {
    UpstreamAccount account = new UpstreamAccount(id);
    applyConfiguration(account);
    accounts.put(id, account);
    groups.clear();
    return account;
  }

  private void applyConfiguration(UpstreamAccount account) {
    AllowedUpstream entry = configuration.upstreams().get(account.id());
    boolean allowed = entry != null && entry.pool().equals(pool);
    account.allow(allowed, allowed && entry.draining());
  }
}
