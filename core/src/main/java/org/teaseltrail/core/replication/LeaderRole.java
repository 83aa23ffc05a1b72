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

/** Leads for one term: appends, ships, commits, and knows when it must stop. */
final class LeaderRole {

  private static final long NANOS_PER_MS = 1_000_000L;

  private final ReplicaContext context;
  private final LeaderLease lease;
  private final LogShipping shipping;
  private final ReadBarriers reads;
  private final HandOver handOver;
  private final MembershipRules rules;
  private final Map<MemberId, PeerProgress> peers = new LinkedHashMap<>();
  private final long firstOwnIndex;
  private long uncommittedBytes;
  private long nextHeartbeatNs;
  private boolean ready;

  LeaderRole(ReplicaContext context, long nowNs) {
    this.context = context;
    this.lease = new LeaderLease(context, nowNs);
    this.shipping = new LogShipping(context, lease);
    this.reads = new ReadBarriers(context.outbox);
    this.handOver = new HandOver(context, lease);
    this.rules = new MembershipRules(context);
    this.firstOwnIndex = context.log.lastIndex() + 1;
    updatePeers(firstOwnIndex);
    append(new EntryPayload.Noop());
    heartbeat(nowNs);
  }

  /** Tells whether all that was committed before this term is applied here. */
  boolean isReady() {
    return ready;
  }

  boolean leaseHolds(long nowNs) {
    return ready && lease.holds(nowNs);
  }

  OptionalLong answeredNs(MemberId member) {
    return lease.answeredNs(member);
  }

  long nextWakeupNs() {
    return handOver.isUnderWay()
        ? Math.min(nextHeartbeatNs, handOver.deadlineNs())
        : nextHeartbeatNs;
  }

  void propose(long proposalId, byte[] command, long nowNs) {
    Optional<ProposalRejection> refusal = refusal();
    if (refusal.isEmpty() && uncommittedBytes > context.settings.maxUncommittedBytes()) {
      refusal = Optional.of(ProposalRejection.TOO_MUCH_UNCOMMITTED);
    }
    answerProposal(proposalId, refusal, () -> new EntryPayload.CommandPayload(command), nowNs);
  }

  void proposeMembership(long proposalId, MembershipChange change, long nowNs) {
    Optional<ProposalRejection> refusal =
        refusal().or(() -> rules.refusal(change, progressOf(change), nowNs));
    answerProposal(
        proposalId, refusal, () -> new EntryPayload.MembershipPayload(rules.apply(change)), nowNs);
  }

  void transfer(ReplicaEvent.TransferLeadership request, long nowNs) {
    Optional<ProposalRejection> refusal = refusal();
    Optional<MemberId> chosen = handOver.choose(request.successor(), peers.values());
    if (refusal.isEmpty() && chosen.isEmpty()) {
      refusal = Optional.of(ProposalRejection.NO_SUCCESSOR);
    }
    if (refusal.isPresent()) {
      context.outbox.add(new ReplicaAction.ProposalRejected(request.proposalId(), refusal.get()));
      return;
    }
    handOver.start(chosen.get(), nowNs);
    handOver.advance(peers.get(chosen.get()));
  }

  void readBarrier(long barrierId, long nowNs) {
    if (!ready) {
      context.outbox.add(
          new ReplicaAction.ReadRejected(barrierId, ProposalRejection.LEADER_NOT_READY));
      return;
    }
    reads.add(barrierId);
    beginReadRound(nowNs);
  }

  void appendReply(MemberId from, PeerMessage.AppendReply reply, long nowNs) {
    PeerProgress peer = peers.get(from);
    if (peer == null) {
      return;
    }
    answered(peer, reply.round(), nowNs);
    if (reply.matched()) {
      peer.matched(reply.matchIndex());
      advanceCommit();
      handOver.advance(peer);
    } else if (peer.rejected(reply.nextIndex())) {
      shipping.heartbeat(peer, nowNs);
    }
    shipping.ship(peer, nowNs);
  }

  void snapshotReply(MemberId from, PeerMessage.InstallSnapshotReply reply, long nowNs) {
    PeerProgress peer = peers.get(from);
    if (peer != null) {
      answered(peer, reply.round(), nowNs);
      shipping.snapshotReply(peer, reply, nowNs);
    }
  }

  /** Counts this member's own syncs. */
  void synced() {
    advanceCommit();
  }

  /**
   * Sends what is due.
   *
   * @return whether this member must step down
   */
  boolean tick(long nowNs) {
    if (handOver.expired(nowNs) || hasLostQuorum(nowNs) || isRemoved()) {
      return true;
    }
    if (nowNs >= nextHeartbeatNs) {
      heartbeat(nowNs);
    }
    return false;
  }

  /**
   * Returns up to where the log may go for all that members need that answer.
   *
   * <p>Failure: while a large snapshot is on its way to a member, a newer one is taken and the log
   * behind the first dropped; the member gets snapshot after snapshot and never catches up. The
   * guard: the log stays from where each answering member goes on.
   */
  long neededAfterIndex(long nowNs) {
    return peers.values().stream()
        .filter(peer -> lease.hasAnsweredSince(peer.id(), nowNs - context.settings.catchUpNs()))
        .mapToLong(PeerProgress::servedIndex)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Ends the leadership. */
  void end() {
    reads.rejectAll();
  }

  /**
   * Tells whether no quorum has been heard for so long that others may lead by now. The lease is
   * over by then; stepping down lets voters that still hear this member elect another.
   */
  private boolean hasLostQuorum(long nowNs) {
    long limitNs = context.settings.electionTimeoutMinMs() * NANOS_PER_MS;
    return nowNs - lease.quorumHeardNs(nowNs) >= limitNs;
  }

  private boolean isRemoved() {
    return !context.isVoter() && context.members.latestIndex() <= context.commits.commitIndex();
  }

  private Optional<ProposalRejection> refusal() {
    if (!ready) {
      return Optional.of(ProposalRejection.LEADER_NOT_READY);
    }
    return handOver.isUnderWay() ? Optional.of(ProposalRejection.HANDING_OVER) : Optional.empty();
  }

  private Optional<PeerProgress> progressOf(MembershipChange change) {
    return change instanceof MembershipChange.PromoteLearner promote
        ? Optional.ofNullable(peers.get(promote.id()))
        : Optional.empty();
  }

  private void answerProposal(
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
            proposalId, context.log.lastIndex(), context.ballot.term()));
    peers.values().forEach(peer -> shipping.ship(peer, nowNs));
  }

  private void append(EntryPayload payload) {
    LogEntry entry = new LogEntry(context.log.lastIndex() + 1, context.ballot.term(), payload);
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
   * <p>A leader that was restarted doesn't know what is committed, only that it lies before its own
   * first entry; asking for less would take an empty learner for one that has caught up.
   */
  private void heartbeat(long nowNs) {
    nextHeartbeatNs = nowNs + context.settings.heartbeatNs();
    reads.roundBegun(lease.beginRound(nowNs));
    long committedIndex = Math.max(context.commits.commitIndex(), firstOwnIndex);
    for (PeerProgress peer : peers.values()) {
      peer.asked(committedIndex, nowNs, context.settings.catchUpNs());
      shipping.heartbeat(peer, nowNs);
      handOver.advance(peer);
    }
    readsMaybeConfirmed();
  }

  private void beginReadRound(long nowNs) {
    if (reads.wantsRound()) {
      heartbeat(nowNs);
    }
  }

  private void answered(PeerProgress peer, long round, long nowNs) {
    peer.answered(round);
    lease.answered(peer.id(), round);
    readsMaybeConfirmed();
    beginReadRound(nowNs);
  }

  private void readsMaybeConfirmed() {
    reads.quorumAnswered(quorumValue(lease.newestRound(), PeerProgress::answeredRound));
  }

  private void advanceCommit() {
    long synced = quorumValue(context.log.syncedIndex(), PeerProgress::matchIndex);
    if (synced <= context.commits.commitIndex()
        || !context.log.holds(synced, context.ballot.term())) {
      return;
    }
    long committedBefore = context.commits.commitIndex();
    context.commits.advanceTo(synced);
    uncommittedBytes -= bytesOf(Math.max(committedBefore + 1, firstOwnIndex), synced);
    if (!ready && synced >= firstOwnIndex) {
      ready = true;
      context.outbox.add(new ReplicaAction.BecameLeader(context.ballot.term()));
    }
  }

  private long bytesOf(long firstIndex, long lastIndex) {
    return context.log.range(firstIndex, lastIndex).stream()
        .mapToLong(entry -> entry.payload().sizeBytes())
        .sum();
  }

  /** Returns the greatest value that a quorum of voters has reached. */
  private long quorumValue(long own, ToLongFunction<PeerProgress> ofPeer) {
    Membership members = context.members.latest();
    List<Long> values = new ArrayList<>();
    for (Member voter : members.voters()) {
      boolean isSelf = voter.id().equals(context.self);
      values.add(isSelf ? own : ofPeer.applyAsLong(peers.get(voter.id())));
    }
    values.sort(Collections.reverseOrder());
    return values.get(members.quorumCount() - 1);
  }
}
