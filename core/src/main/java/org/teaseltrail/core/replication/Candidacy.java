package org.teaseltrail.core.replication;

import java.util.HashSet;
import java.util.Set;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/**
 * Stands for election: first asks whether a vote would succeed, then for the votes.
 *
 * <p>The first step guards against a member that was cut off coming back with a higher term and so
 * ending a working leadership: it raises its term only once a quorum would vote for it.
 */
final class Candidacy {

  private enum Phase {
    NONE,
    ASKING_AHEAD,
    SAVING_OWN_VOTE,
    ASKING
  }

  private static final long NANOS_PER_MS = 1_000_000L;

  /**
   * Greatest time after the first lease in which a restarted member begins to ask ahead. The
   * members of a group that was restarted as a whole ask one after the other within it.
   */
  private static final int FIRST_SPREAD_MS = 100;

  /** Least time between two askings ahead: some round trips, and the sync of a slow disk. */
  private static final int ASK_AGAIN_MIN_MS = 100;

  /** Greatest such time; each wait is drawn anew from the range. */
  private static final int ASK_AGAIN_MAX_MS = 200;

  private final ReplicaContext context;
  private final Set<MemberId> granted = new HashSet<>();
  private Phase phase = Phase.NONE;
  private boolean handOver;
  private long deadlineNs;

  Candidacy(ReplicaContext context, long lastLifeEndedNs, long nowNs) {
    this.context = context;
    boolean alone = context.isVoter() && context.members.latest().quorumCount() == 1;
    if (alone) {
      this.deadlineNs = nowNs;
    } else {
      waitForFirstLease(lastLifeEndedNs, nowNs);
    }
  }

  /**
   * Sets when a restarted member begins to ask: voters refuse for a lease after their last life.
   * Guards against a group without a leader for longer than it must be, after all were restarted at
   * once: it shows as callers that are turned away by entry VMs which are up.
   */
  private void waitForFirstLease(long lastLifeEndedNs, long nowNs) {
    int spreadMs = context.random.nextInt(FIRST_SPREAD_MS);
    long freeNs = Math.max(nowNs, lastLifeEndedNs + context.settings.leaseNs());
    deadlineNs = freeNs + spreadMs * NANOS_PER_MS;
  }

  long deadlineNs() {
    return deadlineNs;
  }

  /** Draws the time at which this member stands if it hears from no leader. */
  void restartTimeout(long nowNs) {
    ReplicaSettings settings = context.settings;
    int timeoutMs =
        context.random.nextInt(
            settings.electionTimeoutMinMs(), settings.electionTimeoutMaxMs() + 1);
    deadlineNs = nowNs + timeoutMs * NANOS_PER_MS;
  }

  /**
   * Asks again sooner than it would stand again: asking changes nobody's term, and a voter that
   * refuses because it was just started grants its vote a moment later.
   */
  private void askAgainSoon(long nowNs) {
    int waitMs = context.random.nextInt(ASK_AGAIN_MIN_MS, ASK_AGAIN_MAX_MS + 1);
    deadlineNs = nowNs + waitMs * NANOS_PER_MS;
  }

  /** Gives the candidacy up. */
  void end() {
    phase = Phase.NONE;
    granted.clear();
  }

  /** Asks the other voters whether they would vote for this member. */
  void askAhead(long nowNs) {
    begin(Phase.ASKING_AHEAD, nowNs);
    askAgainSoon(nowNs);
    granted.add(context.self);
    ReplicatedLog log = context.log;
    PeerMessage request =
        new PeerMessage.PreVoteRequest(context.ballot.term() + 1, log.lastIndex(), log.lastTerm());
    if (hasQuorum()) {
      stand(false, nowNs);
    } else {
      sendToOtherVoters(request);
    }
  }

  /** Takes a pre-vote. */
  void preVoteReply(MemberId from, PeerMessage.PreVoteReply reply, long nowNs) {
    boolean counts =
        phase == Phase.ASKING_AHEAD
            && reply.granted()
            && reply.candidateTerm() == context.ballot.term() + 1;
    if (!counts) {
      return;
    }
    granted.add(from);
    if (hasQuorum()) {
      stand(false, nowNs);
    }
  }

  /**
   * Stands in the next term.
   *
   * @param byHandOver whether the present leader has given its lease up for this
   */
  void stand(boolean byHandOver, long nowNs) {
    begin(Phase.SAVING_OWN_VOTE, nowNs);
    handOver = byHandOver;
    context.ballot.standAs(context.self);
  }

  /**
   * Counts this member's own vote and asks for the others' once it is synced. Asking earlier could
   * lead, after a crash, to a second candidacy in the same term with another log.
   *
   * @return whether this member is elected
   */
  boolean ownVoteMaybeSynced() {
    if (phase != Phase.SAVING_OWN_VOTE || !context.ballot.isSynced()) {
      return false;
    }
    phase = Phase.ASKING;
    granted.add(context.self);
    ReplicatedLog log = context.log;
    sendToOtherVoters(
        new PeerMessage.VoteRequest(
            context.ballot.term(), log.lastIndex(), log.lastTerm(), handOver));
    return hasQuorum();
  }

  /**
   * Takes a vote.
   *
   * @return whether this member is elected
   */
  boolean voteReply(MemberId from, PeerMessage.VoteReply reply) {
    if (phase != Phase.ASKING || !reply.granted()) {
      return false;
    }
    granted.add(from);
    return hasQuorum();
  }

  private void begin(Phase first, long nowNs) {
    Invariant.check(context.isVoter(), InvariantName.ONLY_VOTERS_STAND);
    phase = first;
    granted.clear();
    restartTimeout(nowNs);
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
