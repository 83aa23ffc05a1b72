package org.teaseltrail.core.replication;

import java.util.Optional;

/**
 * Decides which member change may follow.
 *
 * <p>Guards against two quorums without a common voter: one step at a time, each committed before
 * the next, and none before the leader has committed an entry of its own term, as a change of an
 * older leader might otherwise still come back. A learner votes only once it holds, synced, all
 * that is committed: else the loss of a second member right after a repair would lose what only the
 * first two held.
 */
final class MembershipRules {

  private final ReplicaContext context;

  MembershipRules(ReplicaContext context) {
    this.context = context;
  }

  /** Returns why a change may not follow now, or empty if it may. */
  Optional<ProposalRejection> refusal(MembershipChange change, Optional<PeerProgress> progress) {
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
          ? refusalOfPromotion(progress)
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

  private Optional<ProposalRejection> refusalOfPromotion(Optional<PeerProgress> progress) {
    long syncedIndex = progress.map(PeerProgress::matchIndex).orElse(0L);
    return syncedIndex < context.commits.commitIndex()
        ? Optional.of(ProposalRejection.LEARNER_NOT_CAUGHT_UP)
        : Optional.empty();
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
