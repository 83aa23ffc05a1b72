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

/** Keeps this VM's session with the control members: whom to ask, and when. */
final class ControlClient {

  private static final long NS_PER_MS = 1_000_000L;

  /** Missed syncs after which the leader counts as lost and all members are asked. */
  private static final int PATIENCE_SYNCS = 3;

  /** Time between two syncs at least, whatever asks for them; a fifth of the usual one. */
  private static final long LEAST_PAUSE_NS = 50 * NS_PER_MS;

  /**
   * Time between two syncs while there is no session. Every member is asked, so it isn't less; a
   * new leader's session comes half of it later.
   */
  private static final long SEARCH_PAUSE_NS = 100 * NS_PER_MS;

  /**
   * Pause for each VM between syncs of VMs where requests wait, so that the leader gets no more
   * than 240 of them a second in all; twelve VMs or fewer come to {@link #LEAST_PAUSE_NS}.
   */
  private static final long PAUSE_OF_VM_NS = 4 * NS_PER_MS;

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

  /** Brings the next sync forward for what only the leader can give. */
  void syncSoon() {
    nextSyncNs = Math.min(nextSyncNs, lastSyncNs + LEAST_PAUSE_NS);
  }

  /**
   * Brings the next sync forward while requests wait for places: the more VMs there are, the less.
   *
   * <p>Guards against a leader that is kept busy by syncs alone: in an overload requests wait at
   * all VMs, and sixty of them sent 1,200 syncs a second. Places for engines are handed out by
   * other messages then, so a sync brings only what the others hold at plain services.
   */
  void syncForSlots() {
    long pauseNs = Math.max(LEAST_PAUSE_NS, vmCount * PAUSE_OF_VM_NS);
    nextSyncNs = Math.min(nextSyncNs, lastSyncNs + pauseNs);
  }

  /** Returns the syncs that are due: one to the leader, or one to each member if none is known. */
  List<ForwardAction> dueSyncs(ForwardNode node, long nowNs) {
    if (nowNs < nextSyncNs) {
      return List.of();
    }
    lastSyncNs = nowNs;
    long usualPauseNs = settings.syncIntervalMs() * NS_PER_MS;
    nextSyncNs = nowNs + (session.isValid(nowNs) ? usualPauseNs : SEARCH_PAUSE_NS);
    List<VmId> asked = leader(nowNs).map(List::of).orElseGet(this::members);
    List<ForwardAction> syncs = new ArrayList<>();
    for (VmId member : asked) {
      long sequence = session.recordSync(member, nowNs);
      syncs.add(new ForwardAction.SendControl(member, sync(node, sequence, nowNs)));
    }
    return syncs;
  }

  /**
   * Learns of members.
   *
   * @return whether the set has changed
   */
  boolean updateMembers(ServingReply reply) {
    if (reply instanceof ServingReply.Confirmed confirmed) {
      vmCount = confirmed.vmCount();
      Set<VmId> told = new LinkedHashSet<>(confirmed.members());
      boolean changed = !told.equals(members);
      members.clear();
      members.addAll(told);
      return changed;
    }
    return reply instanceof ServingReply.NotLeading other && members.addAll(other.members());
  }

  /** Asks the seeds again too, once nobody has confirmed the session for its whole lifetime. */
  boolean addSeedsWithoutSession(long nowNs) {
    return !session.isValid(nowNs) && members.addAll(seeds);
  }

  /** Returns a message to the leader if one is known. */
  Optional<ForwardAction> messageToLeader(ServingMessage message, long nowNs) {
    return leader(nowNs).map(leader -> new ForwardAction.SendControl(leader, message));
  }

  /** Tells whether a leader has answered lately. */
  boolean hasLeader(long nowNs) {
    return leader(nowNs).isPresent();
  }

  private Optional<VmId> leader(long nowNs) {
    return session.leader(nowNs, PATIENCE_SYNCS * settings.syncIntervalMs() * NS_PER_MS);
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
