package org.teaseltrail.core.replication;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/**
 * Raft state machine of one group member. It has no clock, threads, sockets or files: the caller
 * passes in events and the monotonic time and executes the returned actions in order.
 *
 * <p>Implements Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with pre-vote,
 * quorum check, a leader lease and single-step membership changes.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Replica replica = new Replica(group, self, settings, recovered, random, System.nanoTime());
 * for (ReplicaAction action : replica.handle(new ReplicaEvent.Tick(), System.nanoTime())) {
 *   execute(action);
 * }
 * }</pre>
 */
public final class Replica {

  private final GroupId group;
  private final ReplicaContext context;
  private final LeaderRequestDispatcher requests;
  private final LeaseVotePolicy votePolicy;
  private final VoteRequestHandler voteRequestHandler;
  private final CandidateRole candidate;
  private Optional<FollowerRole> follower = Optional.empty();
  private Optional<LeaderRole> leaderRole = Optional.empty();

  /**
   * Creates a replica.
   *
   * @param group the group
   * @param self this member
   * @param settings times and sizes
   * @param recovered what the data folder held
   * @param random draws election timeouts
   * @param nowNs monotonic time in nanoseconds
   */
  public Replica(
      GroupId group,
      MemberId self,
      ReplicaSettings settings,
      RecoveredState recovered,
      RandomGenerator random,
      long nowNs) {
    this(group, self, settings, recovered, random, nowNs, nowNs);
  }

  /**
   * Creates a replica whose previous incarnation ended some time ago, which shortens the time
   * during which it must refuse its vote after the restart.
   *
   * @param group the group
   * @param self this member
   * @param settings times and sizes
   * @param recovered state recovered from the data folder
   * @param random source of randomness for timeouts and snapshot intervals
   * @param previousIncarnationEndedNs a monotonic time at or after the end of the previous
   *     incarnation that used the disk
   * @param nowNs monotonic time in nanoseconds
   */
  public Replica(
      GroupId group,
      MemberId self,
      ReplicaSettings settings,
      RecoveredState recovered,
      RandomGenerator random,
      long previousIncarnationEndedNs,
      long nowNs) {
    this.group = group;
    this.context = new ReplicaContext(group, self, settings, recovered, random);
    this.requests = new LeaderRequestDispatcher(context.outbox);
    this.votePolicy = new LeaseVotePolicy(settings, previousIncarnationEndedNs);
    this.voteRequestHandler = new VoteRequestHandler(context, votePolicy);
    this.candidate = new CandidateRole(context, previousIncarnationEndedNs, nowNs);
  }

  /**
   * Handles an event.
   *
   * @param event the event
   * @param nowNs monotonic time in nanoseconds, never less than in the previous call
   * @return the actions to execute, in order
   */
  public List<ReplicaAction> handle(ReplicaEvent event, long nowNs) {
    if (event instanceof ReplicaEvent.PeerMessageReceived received) {
      onMessage(received.envelope(), nowNs);
    } else if (event instanceof ReplicaEvent.Persisted persisted) {
      onPersisted(persisted.writeNumber(), nowNs);
    } else if (event instanceof ReplicaEvent.SnapshotTaken taken) {
      long neededAfterIndex =
          leaderRole.map(role -> role.retainAfterIndex(nowNs)).orElse(Long.MAX_VALUE);
      context.commitTracker.onSnapshotTaken(taken, context.members, neededAfterIndex);
    } else {
      requests.handle(event, leaderRole, nowNs);
    }
    checkTimers(nowNs);
    return context.outbox.drain();
  }

  /**
   * Returns when the replica next needs a tick if no other event occurs.
   *
   * @return monotonic time in nanoseconds, or empty if no timer is running
   */
  public OptionalLong nextWakeupNs() {
    if (leaderRole.isPresent()) {
      return OptionalLong.of(leaderRole.get().nextWakeupNs());
    }
    return context.isVoter()
        ? OptionalLong.of(candidate.electionDeadlineNs())
        : OptionalLong.empty();
  }

  /**
   * Returns whether this member is the leader and no other member can be. Callers must check this
   * immediately before each action that requires the lease.
   *
   * @param nowNs monotonic time in nanoseconds
   * @return true while the lease is valid
   */
  public boolean isLeaseValid(long nowNs) {
    return leaderRole.map(role -> role.isLeaseValid(nowNs)).orElse(false);
  }

  /**
   * Returns whether this member must refuse its vote because a leader's lease rests on it or may do
   * so.
   *
   * @param nowNs monotonic time in nanoseconds
   * @return true while it refuses its vote to other members
   */
  public boolean isVoteWithheld(long nowNs) {
    return leaderRole.isPresent() || !votePolicy.canVote(false, nowNs);
  }

  /**
   * Returns this member's current term.
   *
   * @return the term
   */
  public long term() {
    return context.voteStore.term();
  }

  /**
   * Returns the leader of the current term.
   *
   * @return the leader, if one is known
   */
  public Optional<MemberId> leader() {
    return context.leader();
  }

  /**
   * Returns the member set in effect on this member.
   *
   * @return the latest one in its log, whether committed or not
   */
  public Membership membership() {
    return context.members.latest();
  }

  /**
   * Returns whether the member set in effect is known to be committed.
   *
   * @return false while a membership change waits for a quorum
   */
  public boolean isMembershipCommitted() {
    return context.members.latestIndex() <= context.commitTracker.commitIndex();
  }

  /**
   * Returns the index up to which the log is known to be committed.
   *
   * @return index of the last entry emitted to be applied
   */
  public long commitIndex() {
    return context.commitTracker.commitIndex();
  }

  /**
   * Returns the size of the log.
   *
   * @return the size now
   */
  public LogStatus logStatus() {
    return context.log.status();
  }

  /**
   * Handles a message. Messages to another receiver are dropped: after a disk loss the VM runs a
   * new member, which must not answer on behalf of the previous one.
   */
  private void onMessage(PeerEnvelope envelope, long nowNs) {
    if (!envelope.group().equals(group) || !envelope.to().equals(context.self)) {
      return;
    }
    PeerMessage message = envelope.message();
    if (message instanceof PeerMessage.PreVoteRequest request) {
      voteRequestHandler.onPreVoteRequest(envelope.from(), request, leaderRole.isPresent(), nowNs);
    } else if (message instanceof PeerMessage.VoteRequest request) {
      onVoteRequest(envelope.from(), request, nowNs);
    } else if (message instanceof PeerMessage.TimeoutNow timeoutNow) {
      onTimeoutNow(envelope.from(), timeoutNow, nowNs);
    } else if (message instanceof PeerMessage.Append || isInstallSnapshot(message)) {
      onLeaderMessage(envelope.from(), message, nowNs);
    } else {
      onReply(envelope.from(), message, nowNs);
    }
  }

  /**
   * Returns, on a leader, when the latest message was sent to which a member has replied.
   *
   * @param member the member
   * @return monotonic time in nanoseconds, or empty if it hasn't replied in this term
   */
  public OptionalLong repliedSendNs(MemberId member) {
    return leaderRole.map(role -> role.repliedSendNs(member)).orElse(OptionalLong.empty());
  }

  /**
   * Returns, on a leader, whether a member has caught up, so that it may be promoted.
   *
   * @param member the member
   * @param nowNs monotonic time in nanoseconds
   * @return whether it had recently synced all entries committed at the time
   */
  public boolean hasCaughtUp(MemberId member, long nowNs) {
    return leaderRole.map(role -> role.hasCaughtUp(member, nowNs)).orElse(false);
  }

  private static boolean isInstallSnapshot(PeerMessage message) {
    return message instanceof PeerMessage.InstallSnapshot;
  }

  private void onVoteRequest(MemberId from, PeerMessage.VoteRequest request, long nowNs) {
    if (!voteRequestHandler.canConsider(request, leaderRole.isPresent(), nowNs)) {
      return;
    }
    adoptTerm(request.term(), nowNs);
    if (voteRequestHandler.vote(from, request)) {
      candidate.resetElectionTimeout(nowNs);
    }
  }

  private void onTimeoutNow(MemberId from, PeerMessage.TimeoutNow message, long nowNs) {
    boolean fromLeader =
        message.term() == term() && follower.map(role -> role.leader().equals(from)).orElse(false);
    if (fromLeader && context.isVoter() && !votePolicy.isWithinStartupLease(nowNs)) {
      candidate.startElection(true, nowNs);
      onCampaignStarted();
    }
  }

  private void onLeaderMessage(MemberId from, PeerMessage message, long nowNs) {
    if (message.term() < term()) {
      context.outbox.send(from, new PeerMessage.AppendReply(term(), 0, false, 0, 1));
      return;
    }
    adoptTerm(message.term(), nowNs);
    FollowerRole role = becomeFollower(from, nowNs);
    if (message instanceof PeerMessage.Append append) {
      role.onAppend(append);
    } else {
      role.onInstallSnapshot((PeerMessage.InstallSnapshot) message);
    }
  }

  private FollowerRole becomeFollower(MemberId from, long nowNs) {
    boolean isOnlyLeader =
        leaderRole.isEmpty() && follower.map(role -> role.leader().equals(from)).orElse(true);
    Invariant.check(isOnlyLeader, InvariantName.ONE_LEADER_PER_TERM);
    if (follower.isEmpty()) {
      follower = Optional.of(new FollowerRole(context, from));
    }
    candidate.end();
    candidate.resetElectionTimeout(nowNs);
    votePolicy.onLeaderContact(nowNs);
    context.setLeader(Optional.of(from));
    return follower.get();
  }

  private void onReply(MemberId from, PeerMessage message, long nowNs) {
    adoptTerm(message.term(), nowNs);
    if (message instanceof PeerMessage.PreVoteReply reply) {
      long previousTerm = term();
      candidate.onPreVoteReply(from, reply, nowNs);
      checkCampaignStarted(previousTerm);
    } else if (message.term() < term()) {
      return;
    } else if (message instanceof PeerMessage.VoteReply reply) {
      if (candidate.onVoteReply(from, reply)) {
        becomeLeader(nowNs);
      }
    } else if (message instanceof PeerMessage.AppendReply reply) {
      leaderRole.ifPresent(role -> role.onAppendReply(from, reply, nowNs));
    } else if (message instanceof PeerMessage.InstallSnapshotReply reply) {
      leaderRole.ifPresent(role -> role.onSnapshotReply(from, reply, nowNs));
    }
  }

  private void onPersisted(long writeNumber, long nowNs) {
    Invariant.check(
        writeNumber <= context.outbox.newestWriteNumber(),
        InvariantName.SYNCED_WRITE_WAS_ASKED_FOR);
    context.log.onSynced(writeNumber);
    context.voteStore.onSynced(writeNumber);
    voteRequestHandler.sendVoteReplyIfSynced();
    follower.ifPresent(FollowerRole::onSynced);
    leaderRole.ifPresent(LeaderRole::onSynced);
    if (candidate.requestVotesIfOwnVoteSynced()) {
      becomeLeader(nowNs);
    }
  }

  private void adoptTerm(long newTerm, long nowNs) {
    if (newTerm <= term()) {
      return;
    }
    stepDown(nowNs);
    candidate.end();
    follower = Optional.empty();
    voteRequestHandler.onTermChanged();
    context.voteStore.advanceTo(newTerm);
    context.setLeader(Optional.empty());
  }

  private void checkTimers(long nowNs) {
    if (leaderRole.isPresent()) {
      if (leaderRole.get().tick(nowNs)) {
        stepDown(nowNs);
        context.setLeader(Optional.empty());
      }
      return;
    }
    if (context.isVoter() && nowNs >= candidate.electionDeadlineNs()) {
      long previousTerm = term();
      candidate.startPreVote(nowNs);
      context.setLeader(Optional.empty());
      checkCampaignStarted(previousTerm);
    }
  }

  private void checkCampaignStarted(long previousTerm) {
    if (term() != previousTerm) {
      onCampaignStarted();
    }
  }

  private void onCampaignStarted() {
    follower = Optional.empty();
    voteRequestHandler.onTermChanged();
    context.setLeader(Optional.empty());
  }

  private void becomeLeader(long nowNs) {
    candidate.end();
    follower = Optional.empty();
    context.setLeader(Optional.of(context.self));
    leaderRole = Optional.of(new LeaderRole(context, nowNs));
  }

  private void stepDown(long nowNs) {
    if (leaderRole.isEmpty()) {
      return;
    }
    LeaderRole endedRole = leaderRole.get();
    leaderRole = Optional.empty();
    endedRole.end();
    if (endedRole.isReady()) {
      context.outbox.add(new ReplicaAction.LostLeadership(term()));
    }
    candidate.resetElectionTimeout(nowNs);
  }
}
