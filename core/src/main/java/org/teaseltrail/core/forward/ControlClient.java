package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.serving.ServingSession;

/**
 * Client of the control members: keeps this VM's session, and decides which members to contact and
 * when.
 */
final class ControlClient {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Number of missed syncs after which the leader is considered lost and all members are contacted.
   */
  private static final int MAX_MISSED_SYNCS = 3;

  /** Minimum time between two syncs, whatever the reason; a fifth of the usual interval. */
  private static final long MIN_SYNC_INTERVAL_NS = 50 * NS_PER_MS;

  /**
   * Time between two syncs while there is no session. It isn't shorter because every member is
   * contacted; a session with a new leader is delayed by half of it on average.
   */
  private static final long SEARCH_INTERVAL_NS = 100 * NS_PER_MS;

  /**
   * Minimum time between two syncs while requests are queued, per VM, so that the leader receives
   * at most 240 of these syncs per second in total; with twelve VMs or fewer {@link
   * #MIN_SYNC_INTERVAL_NS} applies.
   */
  private static final long SYNC_INTERVAL_PER_VM_NS = 4 * NS_PER_MS;

  private final ForwardSettings settings;
  private final ServingSession session;
  private final Set<VmId> members = new LinkedHashSet<>();
  private List<VmId> seeds;
  private long nextSyncNs;
  private long lastSyncNs;
  private int vmCount = 1;

  ControlClient(ForwardSettings settings) {
    this.settings = settings;
    session = new ServingSession(settings.sessionLifetimeMs());
    seeds = settings.seeds();
    members.addAll(seeds);
  }

  void seeds(List<VmId> changed) {
    seeds = List.copyOf(changed);
  }

  VmId vm() {
    return settings.vm();
  }

  ServingSession session() {
    return session;
  }

  List<VmId> members() {
    return List.copyOf(members);
  }

  long nextSyncNs() {
    return nextSyncNs;
  }

  /** Advances the next sync because of something that only the leader can provide. */
  void syncSoon() {
    nextSyncNs = Math.min(nextSyncNs, lastSyncNs + MIN_SYNC_INTERVAL_NS);
  }

  /**
   * Advances the next sync while requests are queued for slots, by less the more VMs there are.
   *
   * <p>The limit protects the leader from overload by syncs alone: in an overload requests are
   * queued at all VMs, and sixty VMs sent 1,200 syncs per second. As the slots of engines are
   * granted by other messages then, a sync only updates what the other VMs use at plain HTTP
   * services.
   */
  void syncForSlots() {
    long intervalNs = Math.max(MIN_SYNC_INTERVAL_NS, vmCount * SYNC_INTERVAL_PER_VM_NS);
    nextSyncNs = Math.min(nextSyncNs, lastSyncNs + intervalNs);
  }

  /**
   * Returns the syncs that are due: one to the leader, or one to each member if no leader is known.
   */
  List<ForwardAction> dueSyncs(ForwardNode node, long nowNs) {
    if (nowNs < nextSyncNs) {
      return List.of();
    }
    lastSyncNs = nowNs;
    long usualIntervalNs = settings.syncIntervalMs() * NS_PER_MS;
    nextSyncNs = nowNs + (session.isValid(nowNs) ? usualIntervalNs : SEARCH_INTERVAL_NS);
    List<VmId> asked = leader(nowNs).map(List::of).orElseGet(this::members);
    List<ForwardAction> syncs = new ArrayList<>();
    for (VmId member : asked) {
      long sequence = session.recordSync(member, nowNs);
      syncs.add(new ForwardAction.SendControl(member, sync(node, sequence, nowNs)));
    }
    return syncs;
  }

  /**
   * Updates the control members from a reply.
   *
   * @return whether the set has changed
   */
  boolean updateMembers(ServingReply reply) {
    if (reply instanceof ServingReply.Confirmed confirmed) {
      vmCount = confirmed.vmCount();
      Set<VmId> newMembers = new LinkedHashSet<>(confirmed.members());
      boolean changed = !newMembers.equals(members);
      members.clear();
      members.addAll(newMembers);
      return changed;
    }
    return reply instanceof ServingReply.NotLeading other && members.addAll(other.members());
  }

  /**
   * Adds the seeds to the members once the session has expired without a confirmation; returns
   * whether any is new.
   */
  boolean addSeedsWithoutSession(long nowNs) {
    return !session.isValid(nowNs) && members.addAll(seeds);
  }

  /** Returns the action that sends a message to the leader, if one is known. */
  Optional<ForwardAction> messageToLeader(ServingMessage message, long nowNs) {
    return leader(nowNs).map(leader -> new ForwardAction.SendControl(leader, message));
  }

  /** Returns whether a leader has answered recently. */
  boolean hasLeader(long nowNs) {
    return leader(nowNs).isPresent();
  }

  /** Returns whether registrations of a revision are up to date, but for missed syncs at most. */
  boolean hasRecentRegistry(long heldRevision, long nowNs) {
    return session.hasRecentRegistry(heldRevision, maxSilenceNs(), nowNs);
  }

  private Optional<VmId> leader(long nowNs) {
    return session.leader(nowNs, maxSilenceNs());
  }

  private long maxSilenceNs() {
    return MAX_MISSED_SYNCS * settings.syncIntervalMs() * NS_PER_MS;
  }

  private ServingMessage.Sync sync(ForwardNode node, long sequence, long nowNs) {
    return new ServingMessage.Sync(
        settings.vm(),
        settings.incarnation(),
        sequence,
        node.planVersion(),
        node.registryRevision(),
        node.quarantineRevision(),
        node.rolloutRevision(),
        node.inFlight(),
        node.quotaReports(sequence, nowNs));
  }
}
