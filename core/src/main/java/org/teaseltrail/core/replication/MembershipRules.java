package org.teaseltrail.core.replication;

import java.util.Optional;

/**
 * Decides which member change may follow.
 *
 * <p>Guards against two quorums without a common voter: one step at a time, each committed before
 * the next, and none before the leader has committed an entry of its own term, as a change of an
 * older leader might otherwise still come back.
 *
 * <p>A learner votes only once it held, synced, all that was committed a short time before: else
 * the group would wait for it with every command, and elect nobody if another member fails. That
 * the loss of a second member right after a repair loses nothing rests on the order of steps: while
 * the lost voter still counts, a quorum of four needs the three others, so that all that is
 * committed before the lost one is out is on each of them.
 */
final class MembershipRules {

  private final ReplicaContext context;

  MembershipRules(ReplicaContext context) {
    this.context = context;
  }

  /** Returns why a change may not follow now, or empty if it may. */
  Optional<ProposalRejection> refusal(
      MembershipChange change, Optional<PeerProgress> progress, long nowNs) {
    if (context.members.latestIndex() > context.commits.commitIndex()) {
      return Optional.of(ProposalRejection.MEMBERSHIP_CHANGE_PENDING);
    }
    Membership members = context.members.latest();
    if (change instanceof MembershipChange.AddLearner add) {
      return members.contains(add.member().id())
          ? Optional.of(ProposalRejection.ALREADY_MEMBER)
          : Optional.empty();
    }
    if (change instanceof MembershipChange.PromoteLearner promote) {
      return members.isLearner(promote.id())
          ? refusalOfPromotion(progress, nowNs)
          : Optional.of(ProposalRejection.UNKNOWN_MEMBER);
    }
    return refusalOfRemoval((MembershipChange.RemoveMember) change, members);
  }

  /** Returns the member set after a change. */
  Membership apply(MembershipChange change) {
    Membership members = context.members.latest();
    if (change instanceof MembershipChange.AddLearner add) {
      return members.withLearner(add.member());
    }
    if (change instanceof MembershipChange.PromoteLearner promote) {
      return members.withVoter(members.find(promote.id()).orElseThrow());
    }
    return members.without(((MembershipChange.RemoveMember) change).id());
  }

  private Optional<ProposalRejection> refusalOfPromotion(
      Optional<PeerProgress> progress, long nowNs) {
    long patienceNs = context.settings.catchUpNs();
    boolean caughtUp = progress.map(learner -> learner.isCaughtUp(nowNs, patienceNs)).orElse(false);
    return caughtUp ? Optional.empty() : Optional.of(ProposalRejection.LEARNER_NOT_CAUGHT_UP);
  }

  private static Optional<ProposalRejection> refusalOfRemoval(
      MembershipChange.RemoveMember remove, Membership members) {
    if (!members.contains(remove.id())) {
      return Optional.of(ProposalRejection.UNKNOWN_MEMBER);
    }
    boolean last = members.isVoter(remove.id()) && members.voters().size() == 1;
    return last ? Optional.of(ProposalRejection.LAST_VOTER) : Optional.empty();
  }
}
