package org.teaseltrail.core.replication;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.teaseltrail.core.id.MemberId;

/**
 * Leader role for one term: appends entries to the log, replicates and commits them, and detects
 * when it must step down.
 */
final class LeaderRole {

  private static final long NANOS_PER_MS = 1_000_000L;

  private final ReplicaContext context;
  private final LeaderLease lease;
  private final LogReplicator replicator;
  private final ReadBarrierQueue reads;
  private final HandOver handOver;
  private final MembershipChangeValidator changeValidator;
  private final Map<MemberId, PeerProgress> peers = new LinkedHashMap<>();
  private final long firstIndexOfTerm;
  private long uncommittedBytes;
  private long nextHeartbeatNs;
  private boolean ready;

  LeaderRole(ReplicaContext context, long nowNs) {
    this.context = context;
    this.lease = new LeaderLease(context, nowNs);
    this.replicator = new LogReplicator(context, lease);
    this.reads = new ReadBarrierQueue(context.outbox);
    this.handOver = new HandOver(context, lease);
    this.changeValidator = new MembershipChangeValidator(context);
    this.firstIndexOfTerm = context.log.lastIndex() + 1;
    updatePeers(firstIndexOfTerm);
    append(new EntryPayload.Noop());
    heartbeat(nowNs);
  }

  /** Returns whether all entries committed in earlier terms are applied on this member. */
  boolean isReady() {
    return ready;
  }

  boolean isLeaseValid(long nowNs) {
    return ready && lease.isValid(nowNs);
  }

  /** Returns whether a member had recently synced all entries committed at the time. */
  boolean hasCaughtUp(MemberId member, long nowNs) {
    PeerProgress peer = peers.get(member);
    return peer != null && peer.hasCaughtUpWithin(nowNs, context.settings.maxCatchUpAgeNs());
  }

  OptionalLong repliedSendNs(MemberId member) {
    return lease.repliedSendNs(member);
  }

  long nextWakeupNs() {
    return handOver.isInProgress()
        ? Math.min(nextHeartbeatNs, handOver.deadlineNs())
        : nextHeartbeatNs;
  }

  void propose(long proposalId, byte[] command, long nowNs) {
    Optional<ProposalRejection> refusal = refusal();
    if (refusal.isEmpty() && pendingBytes() > context.settings.maxUncommittedBytes()) {
      refusal = Optional.of(ProposalRejection.TOO_MUCH_UNCOMMITTED);
    }
    appendOrReject(proposalId, refusal, () -> new EntryPayload.CommandPayload(command), nowNs);
  }

  void proposeMembership(long proposalId, MembershipChange change, long nowNs) {
    Optional<ProposalRejection> refusal =
        refusal().or(() -> changeValidator.validate(change, progressOf(change), nowNs));
    appendOrReject(
        proposalId,
        refusal,
        () -> new EntryPayload.MembershipPayload(changeValidator.apply(change)),
        nowNs);
  }

  void transfer(ReplicaEvent.TransferLeadership request, long nowNs) {
    Optional<ProposalRejection> refusal = refusal();
    Optional<MemberId> chosen = handOver.selectSuccessor(request.successor(), peers.values());
    if (refusal.isEmpty() && chosen.isEmpty()) {
      refusal = Optional.of(ProposalRejection.NO_SUCCESSOR);
    }
    if (refusal.isPresent()) {
      context.outbox.add(new ReplicaAction.ProposalRejected(request.proposalId(), refusal.get()));
      return;
    }
    handOver.start(chosen.get(), nowNs);
    handOver.sendTimeoutNowIfReady(peers.get(chosen.get()));
  }

  void onReadBarrier(long barrierId, long nowNs) {
    if (!ready) {
      context.outbox.add(
          new ReplicaAction.ReadRejected(barrierId, ProposalRejection.LEADER_NOT_READY));
      return;
    }
    reads.add(barrierId);
    startReadRoundIfNeeded(nowNs);
  }

  void onAppendReply(MemberId from, PeerMessage.AppendReply reply, long nowNs) {
    PeerProgress peer = peers.get(from);
    if (peer == null) {
      return;
    }
    onPeerReply(peer, reply.round(), nowNs);
    if (reply.matched()) {
      peer.matched(reply.matchIndex());
      advanceCommit();
      handOver.sendTimeoutNowIfReady(peer);
    } else if (peer.onRejected(reply.nextIndex())) {
      replicator.sendHeartbeat(peer, nowNs);
    }
    replicator.sendEntries(peer, nowNs);
  }

  void onSnapshotReply(MemberId from, PeerMessage.InstallSnapshotReply reply, long nowNs) {
    PeerProgress peer = peers.get(from);
    if (peer != null) {
      onPeerReply(peer, reply.round(), nowNs);
      replicator.onSnapshotReply(peer, reply, nowNs);
    }
  }

  /** Advances the commit index after a sync of this member's own log. */
  void onSynced() {
    advanceCommit();
  }

  /**
   * Sends a heartbeat if one is due.
   *
   * @return whether this member must step down
   */
  boolean tick(long nowNs) {
    if (handOver.expireIfDue(nowNs) || hasLostQuorum(nowNs) || isRemoved()) {
      return true;
    }
    if (nowNs >= nextHeartbeatNs) {
      heartbeat(nowNs);
    }
    return false;
  }

  /**
   * Returns the index after which entries must be retained for the members that have replied
   * recently.
   *
   * <p>Without this bound, a newer snapshot could be taken, and the log after the previous one
   * dropped, while a large snapshot is still being sent to a member. That member would receive one
   * snapshot after another and never catch up. The log is therefore retained from the point at
   * which each responsive member continues.
   */
  long retainAfterIndex(long nowNs) {
    return peers.values().stream()
        .filter(
            peer -> lease.hasRepliedSince(peer.id(), nowNs - context.settings.maxCatchUpAgeNs()))
        .mapToLong(PeerProgress::retainAfterIndex)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Ends this leader role and rejects its pending reads. */
  void end() {
    reads.rejectAll();
  }

  /**
   * Returns whether no quorum has replied for so long that another member may be leader. The lease
   * has expired by then; stepping down allows voters that still receive this member's heartbeats to
   * elect another leader.
   */
  private boolean hasLostQuorum(long nowNs) {
    long limitNs = context.settings.electionTimeoutMinMs() * NANOS_PER_MS;
    return nowNs - lease.lastQuorumContactNs(nowNs) >= limitNs;
  }

  private boolean isRemoved() {
    return !context.isVoter()
        && context.members.latestIndex() <= context.commitTracker.commitIndex();
  }

  private Optional<ProposalRejection> refusal() {
    if (!ready) {
      return Optional.of(ProposalRejection.LEADER_NOT_READY);
    }
    return handOver.isInProgress() ? Optional.of(ProposalRejection.HANDING_OVER) : Optional.empty();
  }

  /**
   * Returns the size of the commands that wait for a quorum, or of what waits for this member's own
   * disk if that is more: the other members may commit without it while its disk hangs.
   */
  private long pendingBytes() {
    return Math.max(uncommittedBytes, context.log.unsyncedBytes());
  }

  private Optional<PeerProgress> progressOf(MembershipChange change) {
    return change instanceof MembershipChange.PromoteLearner promote
        ? Optional.ofNullable(peers.get(promote.id()))
        : Optional.empty();
  }

  private void appendOrReject(
      long proposalId,
      Optional<ProposalRejection> refusal,
      Supplier<EntryPayload> payload,
      long nowNs) {
    if (refusal.isPresent()) {
      context.outbox.add(new ReplicaAction.ProposalRejected(proposalId, refusal.get()));
      return;
    }
    append(payload.get());
    context.outbox.add(
        new ReplicaAction.ProposalAppended(
            proposalId, context.log.lastIndex(), context.voteStore.term()));
    peers.values().forEach(peer -> replicator.sendEntries(peer, nowNs));
  }

  private void append(EntryPayload payload) {
    LogEntry entry = new LogEntry(context.log.lastIndex() + 1, context.voteStore.term(), payload);
    uncommittedBytes += payload.sizeBytes();
    context.append(List.of(entry));
    if (payload instanceof EntryPayload.MembershipPayload) {
      updatePeers(entry.index());
    }
  }

  private void updatePeers(long nextIndex) {
    Membership members = context.members.latest();
    peers.keySet().removeIf(id -> !members.contains(id));
    members
        .all()
        .map(Member::id)
        .filter(id -> !id.equals(context.self))
        .forEach(id -> peers.computeIfAbsent(id, key -> new PeerProgress(key, nextIndex)));
  }

  /**
   * Sends a heartbeat to each member.
   *
   * <p>A restarted leader doesn't know the commit index, only that it is below the first entry of
   * its own term. The catch-up target is therefore at least that entry; with a lower target an
   * empty learner would count as caught up.
   */
  private void heartbeat(long nowNs) {
    nextHeartbeatNs = nowNs + context.settings.heartbeatNs();
    reads.onRoundStarted(lease.startRound(nowNs));
    long targetIndex = Math.max(context.commitTracker.commitIndex(), firstIndexOfTerm);
    for (PeerProgress peer : peers.values()) {
      peer.asked(targetIndex, nowNs, context.settings.maxCatchUpAgeNs());
      replicator.sendHeartbeat(peer, nowNs);
      handOver.sendTimeoutNowIfReady(peer);
    }
    confirmReads();
  }

  private void startReadRoundIfNeeded(long nowNs) {
    if (reads.needsRound()) {
      heartbeat(nowNs);
    }
  }

  private void onPeerReply(PeerProgress peer, long round, long nowNs) {
    peer.onReply(round);
    lease.onReply(peer.id(), round);
    confirmReads();
    startReadRoundIfNeeded(nowNs);
  }

  private void confirmReads() {
    reads.onQuorumReply(quorumReached(lease.newestRound(), PeerProgress::repliedRound));
  }

  private void advanceCommit() {
    long synced = quorumReached(context.log.syncedIndex(), PeerProgress::matchIndex);
    if (synced <= context.commitTracker.commitIndex()
        || !context.log.hasEntry(synced, context.voteStore.term())) {
      return;
    }
    long previousCommitIndex = context.commitTracker.commitIndex();
    context.commitTracker.advanceTo(synced);
    uncommittedBytes -= bytesOf(Math.max(previousCommitIndex + 1, firstIndexOfTerm), synced);
    if (!ready && synced >= firstIndexOfTerm) {
      ready = true;
      context.outbox.add(new ReplicaAction.BecameLeader(context.voteStore.term()));
    }
  }

  private long bytesOf(long firstIndex, long lastIndex) {
    return context.log.range(firstIndex, lastIndex).stream()
        .mapToLong(entry -> entry.payload().sizeBytes())
        .sum();
  }

  /** Returns the highest value that a quorum of voters has reached. */
  private long quorumReached(long ownValue, ToLongFunction<PeerProgress> peerValue) {
    Membership members = context.members.latest();
    List<Long> values = new ArrayList<>();
    for (Member voter : members.voters()) {
      boolean isSelf = voter.id().equals(context.self);
      values.add(isSelf ? ownValue : peerValue.applyAsLong(peers.get(voter.id())));
    }
    values.sort(Collections.reverseOrder());
    return values.get(members.quorumCount() - 1);
  }
}
