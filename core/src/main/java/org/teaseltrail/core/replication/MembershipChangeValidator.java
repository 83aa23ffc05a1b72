package org.teaseltrail.core.replication;

import java.util.Optional;

/**
 * Validates membership changes.
 *
 * <p>Changes are made one at a time, each committed before the next. The leader must first have
 * committed an entry of its own term, because an uncommitted change of an earlier leader might
 * otherwise reappear. Both rules prevent two quorums without a common voter.
 *
 * <p>A learner is promoted only after it has synced all entries that were committed a short time
 * before. Otherwise every command would wait for it, and no leader could be elected if another
 * member fails.
 *
 * <p>The removal of a lost voter, before or after its successor is promoted, is committed by a
 * quorum of the remaining voters, which thereby hold everything that was committed before it. So
 * the loss of a second member right after the replacement of a first loses no committed entry.
 */
final class MembershipChangeValidator {

  private final ReplicaContext context;

  MembershipChangeValidator(ReplicaContext context) {
    this.context = context;
  }

  /** Returns why a change is rejected, or empty if it may be proposed now. */
  Optional<ProposalRejection> validate(
      MembershipChange change, Optional<PeerProgress> progress, long nowNs) {
    if (context.members.latestIndex() > context.commitTracker.commitIndex()) {
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
          ? validatePromotion(progress, nowNs)
          : Optional.of(ProposalRejection.UNKNOWN_MEMBER);
    }
    return validateRemoval((MembershipChange.RemoveMember) change, members);
  }

  /** Returns the member set that results from a change. */
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

  private Optional<ProposalRejection> validatePromotion(
      Optional<PeerProgress> progress, long nowNs) {
    long patienceNs = context.settings.maxCatchUpAgeNs();
    boolean caughtUp =
        progress.map(learner -> learner.hasCaughtUpWithin(nowNs, patienceNs)).orElse(false);
    return caughtUp ? Optional.empty() : Optional.of(ProposalRejection.LEARNER_NOT_CAUGHT_UP);
  }

  private static Optional<ProposalRejection> validateRemoval(
      MembershipChange.RemoveMember remove, Membership members) {
    if (!members.contains(remove.id())) {
      return Optional.of(ProposalRejection.UNKNOWN_MEMBER);
    }
    boolean isLastVoter = members.isVoter(remove.id()) && members.voters().size() == 1;
    return isLastVoter ? Optional.of(ProposalRejection.LAST_VOTER) : Optional.empty();
  }
}
