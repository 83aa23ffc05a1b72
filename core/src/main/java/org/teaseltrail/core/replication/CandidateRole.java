package org.teaseltrail.core.replication;

import java.util.HashSet;
import java.util.Set;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/**
 * Runs this member's election campaigns: a pre-vote, then a vote request in the next term.
 *
 * <p>The pre-vote prevents a member that returns from a network partition from deposing a working
 * leader with a higher term: a member raises its term only after a quorum has indicated that it
 * would vote for it.
 */
final class CandidateRole {

  private enum Phase {
    NONE,
    REQUESTING_PRE_VOTES,
    SAVING_OWN_VOTE,
    REQUESTING_VOTES
  }

  private static final long NANOS_PER_MS = 1_000_000L;

  /**
   * Max delay between the end of the startup lease and the first pre-vote of a restarted member.
   * Each member draws its delay at random, so that the members of a group that restarts as a whole
   * start their pre-votes one after the other.
   */
  private static final int INITIAL_JITTER_MS = 100;

  /** Min interval between two pre-votes: a few round trips and the sync of a slow disk. */
  private static final int PRE_VOTE_RETRY_MIN_MS = 100;

  /** Max interval between two pre-votes; each interval is drawn at random between min and max. */
  private static final int PRE_VOTE_RETRY_MAX_MS = 200;

  private final ReplicaContext context;
  private final Set<MemberId> granted = new HashSet<>();
  private Phase phase = Phase.NONE;
  private boolean handOver;
  private long electionDeadlineNs;

  CandidateRole(ReplicaContext context, long previousIncarnationEndedNs, long nowNs) {
    this.context = context;
    boolean isOnlyVoter = context.isVoter() && context.members.latest().quorumCount() == 1;
    if (isOnlyVoter) {
      this.electionDeadlineNs = nowNs;
    } else {
      scheduleFirstPreVote(previousIncarnationEndedNs, nowNs);
    }
  }

  /**
   * Sets the time of the first pre-vote after a restart. Voters refuse their votes for one lease
   * after their previous incarnation ended, so an earlier request fails, and waiting much longer
   * leaves a group that was restarted as a whole without a leader: entry VMs that are up reject
   * requests meanwhile.
   */
  private void scheduleFirstPreVote(long lastLifeEndedNs, long nowNs) {
    int jitterMs = context.random.nextInt(INITIAL_JITTER_MS);
    long votesAllowedNs = Math.max(nowNs, lastLifeEndedNs + context.settings.leaseNs());
    electionDeadlineNs = votesAllowedNs + jitterMs * NANOS_PER_MS;
  }

  long electionDeadlineNs() {
    return electionDeadlineNs;
  }

  /** Draws the time at which this member starts a pre-vote unless a leader contacts it before. */
  void resetElectionTimeout(long nowNs) {
    ReplicaSettings settings = context.settings;
    int timeoutMs =
        context.random.nextInt(
            settings.electionTimeoutMinMs(), settings.electionTimeoutMaxMs() + 1);
    electionDeadlineNs = nowNs + timeoutMs * NANOS_PER_MS;
  }

  /**
   * Schedules the next pre-vote earlier than an election timeout would. A pre-vote changes nobody's
   * term, and a voter that refuses only because it has just restarted grants its vote shortly
   * after.
   */
  private void schedulePreVoteRetry(long nowNs) {
    int waitMs = context.random.nextInt(PRE_VOTE_RETRY_MIN_MS, PRE_VOTE_RETRY_MAX_MS + 1);
    electionDeadlineNs = nowNs + waitMs * NANOS_PER_MS;
  }

  /** Cancels the campaign. */
  void end() {
    phase = Phase.NONE;
    granted.clear();
  }

  /** Requests pre-votes from the other voters. */
  void startPreVote(long nowNs) {
    startPhase(Phase.REQUESTING_PRE_VOTES, nowNs);
    schedulePreVoteRetry(nowNs);
    granted.add(context.self);
    ReplicatedLog log = context.log;
    PeerMessage request =
        new PeerMessage.PreVoteRequest(
            context.voteStore.term() + 1, log.lastIndex(), log.lastTerm());
    if (hasQuorum()) {
      startElection(false, nowNs);
    } else {
      sendToOtherVoters(request);
    }
  }

  /** Handles a reply to a pre-vote request. */
  void onPreVoteReply(MemberId from, PeerMessage.PreVoteReply reply, long nowNs) {
    boolean counts =
        phase == Phase.REQUESTING_PRE_VOTES
            && reply.granted()
            && reply.candidateTerm() == context.voteStore.term() + 1;
    if (!counts) {
      return;
    }
    granted.add(from);
    if (hasQuorum()) {
      startElection(false, nowNs);
    }
  }

  /**
   * Starts an election in the next term by casting and saving this member's own vote.
   *
   * @param byLeadershipTransfer whether the current leader has released its lease for this election
   */
  void startElection(boolean byLeadershipTransfer, long nowNs) {
    startPhase(Phase.SAVING_OWN_VOTE, nowNs);
    handOver = byLeadershipTransfer;
    context.voteStore.voteForSelfInNextTerm(context.self);
  }

  /**
   * Counts this member's own vote once it is synced, then requests the votes of the others.
   * Requesting them before the sync could lead, after a crash, to a second campaign in the same
   * term with a different log.
   *
   * @return whether this member is elected
   */
  boolean requestVotesIfOwnVoteSynced() {
    if (phase != Phase.SAVING_OWN_VOTE || !context.voteStore.isSynced()) {
      return false;
    }
    phase = Phase.REQUESTING_VOTES;
    granted.add(context.self);
    ReplicatedLog log = context.log;
    sendToOtherVoters(
        new PeerMessage.VoteRequest(
            context.voteStore.term(), log.lastIndex(), log.lastTerm(), handOver));
    return hasQuorum();
  }

  /**
   * Handles a reply to a vote request.
   *
   * @return whether this member is elected
   */
  boolean onVoteReply(MemberId from, PeerMessage.VoteReply reply) {
    if (phase != Phase.REQUESTING_VOTES || !reply.granted()) {
      return false;
    }
    granted.add(from);
    return hasQuorum();
  }

  private void startPhase(Phase initialPhase, long nowNs) {
    Invariant.check(context.isVoter(), InvariantName.ONLY_VOTERS_STAND);
    phase = initialPhase;
    granted.clear();
    resetElectionTimeout(nowNs);
  }

  private boolean hasQuorum() {
    Membership members = context.members.latest();
    long votes = granted.stream().filter(members::isVoter).count();
    return votes >= members.quorumCount();
  }

  private void sendToOtherVoters(PeerMessage request) {
    for (Member member : context.members.latest().voters()) {
      if (!member.id().equals(context.self)) {
        context.outbox.send(member.id(), request);
      }
    }
  }
}
