package org.teaseltrail.core.control;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.core.replication.MembershipChange;
import org.teaseltrail.core.replication.ProposalRejection;
import org.teaseltrail.core.state.CommandResult;

/**
 * Forms and repairs the control group while its member leads: adds members that ask to join as
 * learners, promotes learners that have caught up, and removes members that have stopped responding
 * or lost their disk.
 *
 * <p>A voter whose VM runs a new member has lost its disk for good and is removed before the new
 * member votes, unless the quorum would become smaller. With the lost voter and the new one counted
 * together the quorum would be larger by one, and the loss of the new member and of one more, which
 * is the loss of two VMs, would end the group. A quorum that became smaller would let committed
 * entries rest on fewer disks than the losses that the group must bear. The removal itself needs
 * the unchanged quorum of the others, so they hold everything committed before it.
 *
 * <p>A voter that is only silent may come back with its data; it is removed after a learner has
 * become a voter in its place.
 */
final class MembershipReconciler {

  private static final long NS_PER_MS = 1_000_000L;

  /** Interval between two checks; a tenth of the time within which a repair must be finished. */
  private static final long CHECK_INTERVAL_NS = 200 * NS_PER_MS;

  /**
   * Age at which a join request no longer shows that its sender is running: five times the interval
   * at which such requests are sent.
   */
  private static final long JOIN_TIMEOUT_NS = 1_500 * NS_PER_MS;

  /**
   * Silence after which a voter whose VM runs another member is gone. A running voter replies to
   * each heartbeat, so a late join request of an earlier member of its VM does not replace it.
   */
  private static final long REPLACED_SILENCE_NS = 600 * NS_PER_MS;

  /** Maximum number of learners, so that unknown members can't make the group's messages grow. */
  private static final int MAX_LEARNERS = 4;

  private record JoinCandidate(Member member, long heardNs) {}

  private final RepairSettings settings;
  private final ReplicatedStateMachine stateMachine;
  private final ActionBuffer actions;
  private final MemberId self;
  private final long startedNs;
  private final Map<MemberId, JoinCandidate> candidates = new LinkedHashMap<>();
  private final Map<MemberId, Long> learnersAddedNs = new HashMap<>();
  private long nextCheckNs;
  private boolean proposalPending;

  MembershipReconciler(
      RepairSettings settings,
      ReplicatedStateMachine stateMachine,
      ActionBuffer actions,
      MemberId self,
      long nowNs) {
    this.settings = settings;
    this.stateMachine = stateMachine;
    this.actions = actions;
    this.self = self;
    startedNs = nowNs;
    nextCheckNs = nowNs;
  }

  /** Records that a member is running and asks to join the group. */
  void heard(Member member, long nowNs) {
    candidates.put(member.id(), new JoinCandidate(member, nowNs));
  }

  OptionalLong nextWakeupNs() {
    return OptionalLong.of(nextCheckNs);
  }

  /** Proposes the next membership change, if one is due. */
  void tick(long nowNs) {
    if (nowNs < nextCheckNs) {
      return;
    }
    nextCheckNs = nowNs + CHECK_INTERVAL_NS;
    candidates.values().removeIf(candidate -> nowNs - candidate.heardNs() > JOIN_TIMEOUT_NS);
    if (proposalPending || !stateMachine.replica().isMembershipCommitted()) {
      return;
    }
    nextStep(stateMachine.replica().membership(), nowNs).ifPresent(step -> propose(step, nowNs));
  }

  private Optional<MembershipChange> nextStep(Membership members, long nowNs) {
    trackLearners(members, nowNs);
    return voterToRemove(members, nowNs)
        .or(() -> learnerToPromote(members, nowNs))
        .or(() -> learnerToRemove(members, nowNs))
        .or(() -> learnerToAdd(members, nowNs));
  }

  /** Removes a voter if there are more than the target, or if its VM runs a newer member. */
  private Optional<MembershipChange> voterToRemove(Membership members, long nowNs) {
    boolean tooMany = members.voters().size() > settings.targetVoters();
    return members.voters().stream()
        .filter(voter -> !voter.id().equals(self))
        .filter(
            voter ->
                tooMany
                    || hasReplacementOnSameVm(members.voters(), voter, nowNs)
                    || (isQuorumKeptWithoutOne(members) && isReplaced(members, voter, nowNs)))
        .max(Comparator.comparingLong(voter -> sinceResponseNs(voter.id(), nowNs)))
        .map(voter -> new MembershipChange.RemoveMember(voter.id()));
  }

  private boolean hasReplacementOnSameVm(List<Member> voters, Member voter, long nowNs) {
    return voters.stream()
        .filter(other -> !other.id().equals(voter.id()) && other.vm().equals(voter.vm()))
        .anyMatch(other -> sinceResponseNs(other.id(), nowNs) < sinceResponseNs(voter.id(), nowNs));
  }

  /**
   * Returns whether a member is silent while its VM runs a learner, or a member that asks to join,
   * that was heard later.
   */
  private boolean isReplaced(Membership members, Member member, long nowNs) {
    long silenceNs = sinceHeardNs(members, member.id(), nowNs);
    boolean hasSuccessor =
        Stream.concat(members.learners().stream(), joining(members))
            .filter(other -> !other.id().equals(member.id()) && other.vm().equals(member.vm()))
            .anyMatch(other -> sinceHeardNs(members, other.id(), nowNs) < silenceNs);
    return silenceNs > REPLACED_SILENCE_NS && hasSuccessor;
  }

  /** Returns the members that ask to join and are not part of the group. */
  private Stream<Member> joining(Membership members) {
    return candidates.values().stream()
        .map(JoinCandidate::member)
        .filter(candidate -> !members.contains(candidate.id()));
  }

  private long sinceHeardNs(Membership members, MemberId id, long nowNs) {
    if (members.isVoter(id)) {
      return sinceResponseNs(id, nowNs);
    }
    return members.isLearner(id)
        ? sinceLearnerResponseNs(id, nowNs)
        : nowNs - candidates.get(id).heardNs();
  }

  /** Returns whether the quorum is the same number of voters if one of them is removed. */
  private static boolean isQuorumKeptWithoutOne(Membership members) {
    return members.voters().size() % 2 == 1;
  }

  /**
   * Promotes a learner that has caught up if the group has too few voters or the learner replaces
   * one; the voter of its own VM is removed first if the quorum allows it.
   */
  private Optional<MembershipChange> learnerToPromote(Membership members, long nowNs) {
    boolean wanted = members.voters().size() < settings.targetVoters();
    boolean anyVoterTimedOut =
        members.voters().stream()
            .anyMatch(
                voter ->
                    sinceResponseNs(voter.id(), nowNs) > settings.voterTimeoutMs() * NS_PER_MS);
    return members.learners().stream()
        .filter(learner -> stateMachine.replica().hasCaughtUp(learner.id(), nowNs))
        .filter(learner -> wanted || anyVoterTimedOut || replaces(members, learner.vm()))
        .filter(learner -> !isQuorumKeptWithoutOne(members) || !replaces(members, learner.vm()))
        .min(Comparator.comparingLong(learner -> sinceResponseNs(learner.id(), nowNs)))
        .map(learner -> new MembershipChange.PromoteLearner(learner.id()));
  }

  private static boolean replaces(Membership members, VmId vm) {
    return members.voters().stream().anyMatch(voter -> voter.vm().equals(vm));
  }

  /** Removes a learner that is silent for long, or silent while its VM runs a newer member. */
  private Optional<MembershipChange> learnerToRemove(Membership members, long nowNs) {
    return members.learners().stream()
        .filter(
            learner ->
                isReplaced(members, learner, nowNs)
                    || (!candidates.containsKey(learner.id())
                        && sinceLearnerResponseNs(learner.id(), nowNs) > learnerTimeoutNs()))
        .findFirst()
        .map(learner -> new MembershipChange.RemoveMember(learner.id()));
  }

  private long learnerTimeoutNs() {
    return settings.learnerTimeoutMs() * NS_PER_MS;
  }

  private Optional<MembershipChange> learnerToAdd(Membership members, long nowNs) {
    if (members.learners().size() >= MAX_LEARNERS) {
      return Optional.empty();
    }
    return joining(members)
        .min(Comparator.comparingLong(member -> sinceHeardNs(members, member.id(), nowNs)))
        .map(MembershipChange.AddLearner::new);
  }

  private void trackLearners(Membership members, long nowNs) {
    learnersAddedNs.keySet().removeIf(id -> !members.isLearner(id));
    members.learners().forEach(learner -> learnersAddedNs.putIfAbsent(learner.id(), nowNs));
  }

  private long sinceLearnerResponseNs(MemberId id, long nowNs) {
    long sinceAddedNs = nowNs - learnersAddedNs.getOrDefault(id, nowNs);
    return Math.min(sinceAddedNs, sinceResponseNs(id, nowNs));
  }

  /** Returns the time since a member's last response; always 0 for this member itself. */
  private long sinceResponseNs(MemberId id, long nowNs) {
    if (id.equals(self)) {
      return 0;
    }
    return nowNs - stateMachine.replica().repliedSendNs(id).orElse(startedNs);
  }

  private void propose(MembershipChange step, long nowNs) {
    proposalPending = true;
    stateMachine.propose(step, new StepCallback(step), nowNs);
  }

  private void reportIfPromoted(MembershipChange step, long nowNs) {
    if (step instanceof MembershipChange.PromoteLearner promoted) {
      long addedNs = learnersAddedNs.getOrDefault(promoted.id(), nowNs);
      actions.learnerPromoted(promoted.id(), (nowNs - addedNs) / NS_PER_MS);
    }
  }

  private final class StepCallback implements ProposalCallback {

    private final MembershipChange step;

    StepCallback(MembershipChange step) {
      this.step = step;
    }

    @Override
    public void committed(CommandResult result, long nowNs) {
      proposalPending = false;
      reportIfPromoted(step, nowNs);
    }

    @Override
    public void rejected(ProposalRejection reason, long nowNs) {
      proposalPending = false;
    }

    @Override
    public void outcomeIndeterminate(long nowNs) {
      proposalPending = false;
    }
  }
}
