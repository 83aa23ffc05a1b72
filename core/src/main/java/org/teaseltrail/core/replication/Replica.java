package org.teaseltrail.core.replication;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/**
 * Is one member's part in replicating the log. Holds no clock, no thread, no socket and no file:
 * the caller passes events and the monotonic time, and carries out the actions in their order.
 *
 * <p>The way of replicating is that of Raft (Ongaro, "Consensus: Bridging Theory and Practice",
 * 2014), with pre-vote, quorum check, a leader lease and single-step member changes.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Replica replica = new Replica(group, self, settings, recovered, random, System.nanoTime());
 * for (ReplicaAction action : replica.handle(new ReplicaEvent.Tick(), System.nanoTime())) {
 *   carryOut(action);
 * }
 * }</pre>
 */
public final class Replica {

  private final GroupId group;
  private final ReplicaContext context;
  private final RequestDispatch requests;
  private final VoteGuard guard;
  private final Voter voter;
  private final Candidacy candidacy;
  private Optional<Follower> follower = Optional.empty();
  private Optional<LeaderRole> leadership = Optional.empty();

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
   * Creates a replica whose last life is known to be over for a while.
   *
   * @param group the group
   * @param self this member
   * @param settings times and sizes
   * @param recovered what its disk holds
   * @param random source of chance
   * @param lastLifeEndedNs a monotonic time at or after the end of the last life that used the disk
   * @param nowNs monotonic time in nanoseconds
   */
  public Replica(
      GroupId group,
      MemberId self,
      ReplicaSettings settings,
      RecoveredState recovered,
      RandomGenerator random,
      long lastLifeEndedNs,
      long nowNs) {
    this.group = group;
    this.context = new ReplicaContext(group, self, settings, recovered, random);
    this.requests = new RequestDispatch(context.outbox);
    this.guard = new VoteGuard(settings, lastLifeEndedNs);
    this.voter = new Voter(context, guard);
    this.candidacy = new Candidacy(context, lastLifeEndedNs, nowNs);
  }

  /**
   * Takes an event.
   *
   * @param event what has happened
   * @param nowNs monotonic time in nanoseconds, never less than at the call before
   * @return what is to be done, in order
   */
  public List<ReplicaAction> handle(ReplicaEvent event, long nowNs) {
    if (event instanceof ReplicaEvent.PeerReceived received) {
      receive(received.envelope(), nowNs);
    } else if (event instanceof ReplicaEvent.Persisted persisted) {
      persisted(persisted.writeNumber(), nowNs);
    } else if (event instanceof ReplicaEvent.SnapshotTaken taken) {
      long neededAfterIndex =
          leadership.map(leading -> leading.neededAfterIndex(nowNs)).orElse(Long.MAX_VALUE);
      context.commits.snapshotTaken(taken, context.members, neededAfterIndex);
    } else {
      requests.handle(event, leadership, nowNs);
    }
    checkTimers(nowNs);
    return context.outbox.drain();
  }

  /**
   * Returns when the replica next wants a tick if nothing else happens.
   *
   * @return monotonic time in nanoseconds, or empty if it waits for nothing
   */
  public OptionalLong nextWakeupNs() {
    if (leadership.isPresent()) {
      return OptionalLong.of(leadership.get().nextWakeupNs());
    }
    return context.isVoter() ? OptionalLong.of(candidacy.deadlineNs()) : OptionalLong.empty();
  }

  /**
   * Tells whether this member leads and no other member can lead. To be asked right before each
   * outward action.
   *
   * @param nowNs monotonic time in nanoseconds
   * @return true while its lease holds
   */
  public boolean leaseHolds(long nowNs) {
    return leadership.map(leading -> leading.leaseHolds(nowNs)).orElse(false);
  }

  /**
   * Tells whether this member's vote is bound to a leader, or may be: a lease rests on it.
   *
   * @param nowNs monotonic time in nanoseconds
   * @return true while it refuses its vote to others
   */
  public boolean isVoteBound(long nowNs) {
    return leadership.isPresent() || !guard.allows(false, nowNs);
  }

  /**
   * Returns this member's term.
   *
   * @return the term
   */
  public long term() {
    return context.ballot.term();
  }

  /**
   * Returns the leader of this term.
   *
   * @return the leader, if one is known
   */
  public Optional<MemberId> leader() {
    return context.leader();
  }

  /**
   * Returns the member set that counts for this member.
   *
   * @return the latest in its log, committed or not
   */
  public Membership membership() {
    return context.members.latest();
  }

  /**
   * Tells whether the member set that counts is known to be committed.
   *
   * @return false while a member change waits for a quorum
   */
  public boolean isMembershipCommitted() {
    return context.members.latestIndex() <= context.commits.commitIndex();
  }

  /**
   * Returns up to where the log is known to be committed.
   *
   * @return index of the last entry passed on to be applied
   */
  public long commitIndex() {
    return context.commits.commitIndex();
  }

  /**
   * Takes a message. One for another receiver is dropped: after a lost disk the VM runs a new
   * member, which must not answer for what the old one had promised.
   */
  private void receive(PeerEnvelope envelope, long nowNs) {
    if (!envelope.group().equals(group) || !envelope.to().equals(context.self)) {
      return;
    }
    PeerMessage message = envelope.message();
    if (message instanceof PeerMessage.PreVoteRequest request) {
      voter.preVote(envelope.from(), request, leadership.isPresent(), nowNs);
    } else if (message instanceof PeerMessage.VoteRequest request) {
      voteRequest(envelope.from(), request, nowNs);
    } else if (message instanceof PeerMessage.TimeoutNow timeoutNow) {
      timeoutNow(envelope.from(), timeoutNow, nowNs);
    } else if (message instanceof PeerMessage.Append || isInstall(message)) {
      fromLeader(envelope.from(), message, nowNs);
    } else {
      reply(envelope.from(), message, nowNs);
    }
  }

  /**
   * Tells, on a leader, when the newest message was sent that a member has answered.
   *
   * @param member the member
   * @return monotonic time in nanoseconds, or empty if it hasn't answered in this term
   */
  public OptionalLong answeredNs(MemberId member) {
    return leadership.map(leading -> leading.answeredNs(member)).orElse(OptionalLong.empty());
  }

  private static boolean isInstall(PeerMessage message) {
    return message instanceof PeerMessage.InstallSnapshot;
  }

  private void voteRequest(MemberId from, PeerMessage.VoteRequest request, long nowNs) {
    if (!voter.mayConsider(request, leadership.isPresent(), nowNs)) {
      return;
    }
    observeTerm(request.term(), nowNs);
    if (voter.vote(from, request)) {
      candidacy.restartTimeout(nowNs);
    }
  }

  private void timeoutNow(MemberId from, PeerMessage.TimeoutNow message, long nowNs) {
    boolean fromLeader =
        message.term() == term()
            && follower.map(following -> following.leader().equals(from)).orElse(false);
    if (fromLeader && context.isVoter() && !guard.justStarted(nowNs)) {
      candidacy.stand(true, nowNs);
      stood();
    }
  }

  private void fromLeader(MemberId from, PeerMessage message, long nowNs) {
    if (message.term() < term()) {
      context.outbox.send(from, new PeerMessage.AppendReply(term(), 0, false, 0, 1));
      return;
    }
    observeTerm(message.term(), nowNs);
    Follower following = follow(from, nowNs);
    if (message instanceof PeerMessage.Append append) {
      following.append(append);
    } else {
      following.installSnapshot((PeerMessage.InstallSnapshot) message);
    }
  }

  private Follower follow(MemberId from, long nowNs) {
    boolean onlyLeader =
        leadership.isEmpty()
            && follower.map(following -> following.leader().equals(from)).orElse(true);
    Invariant.check(onlyLeader, InvariantName.ONE_LEADER_PER_TERM);
    if (follower.isEmpty()) {
      follower = Optional.of(new Follower(context, from));
    }
    candidacy.end();
    candidacy.restartTimeout(nowNs);
    guard.heardFromLeader(nowNs);
    context.leaderIs(Optional.of(from));
    return follower.get();
  }

  private void reply(MemberId from, PeerMessage message, long nowNs) {
    observeTerm(message.term(), nowNs);
    if (message instanceof PeerMessage.PreVoteReply reply) {
      long termBefore = term();
      candidacy.preVoteReply(from, reply, nowNs);
      stoodSince(termBefore);
    } else if (message.term() < term()) {
      return;
    } else if (message instanceof PeerMessage.VoteReply reply) {
      if (candidacy.voteReply(from, reply)) {
        lead(nowNs);
      }
    } else if (message instanceof PeerMessage.AppendReply reply) {
      leadership.ifPresent(leading -> leading.appendReply(from, reply, nowNs));
    } else if (message instanceof PeerMessage.InstallSnapshotReply reply) {
      leadership.ifPresent(leading -> leading.snapshotReply(from, reply, nowNs));
    }
  }

  private void persisted(long writeNumber, long nowNs) {
    Invariant.check(
        writeNumber <= context.outbox.newestWriteNumber(),
        InvariantName.SYNCED_WRITE_WAS_ASKED_FOR);
    context.log.synced(writeNumber);
    context.ballot.synced(writeNumber);
    voter.tellSyncedVote();
    follower.ifPresent(Follower::synced);
    leadership.ifPresent(LeaderRole::synced);
    if (candidacy.ownVoteMaybeSynced()) {
      lead(nowNs);
    }
  }

  private void observeTerm(long seenTerm, long nowNs) {
    if (seenTerm <= term()) {
      return;
    }
    stepDown(nowNs);
    candidacy.end();
    follower = Optional.empty();
    voter.termChanged();
    context.ballot.advanceTo(seenTerm);
    context.leaderIs(Optional.empty());
  }

  private void checkTimers(long nowNs) {
    if (leadership.isPresent()) {
      if (leadership.get().tick(nowNs)) {
        stepDown(nowNs);
        context.leaderIs(Optional.empty());
      }
      return;
    }
    if (context.isVoter() && nowNs >= candidacy.deadlineNs()) {
      long termBefore = term();
      candidacy.askAhead(nowNs);
      context.leaderIs(Optional.empty());
      stoodSince(termBefore);
    }
  }

  private void stoodSince(long termBefore) {
    if (term() != termBefore) {
      stood();
    }
  }

  private void stood() {
    follower = Optional.empty();
    voter.termChanged();
    context.leaderIs(Optional.empty());
  }

  private void lead(long nowNs) {
    candidacy.end();
    follower = Optional.empty();
    context.leaderIs(Optional.of(context.self));
    leadership = Optional.of(new LeaderRole(context, nowNs));
  }

  private void stepDown(long nowNs) {
    if (leadership.isEmpty()) {
      return;
    }
    LeaderRole ended = leadership.get();
    leadership = Optional.empty();
    ended.end();
    if (ended.isReady()) {
      context.outbox.add(new ReplicaAction.LostLeadership(term()));
    }
    candidacy.restartTimeout(nowNs);
  }
}
