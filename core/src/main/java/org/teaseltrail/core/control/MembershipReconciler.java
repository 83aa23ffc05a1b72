package org.teaseltrail.core.control;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.core.replication.MembershipChange;
import org.teaseltrail.core.replication.ProposalRejection;
import org.teaseltrail.core.state.CommandResult;

/**
 * Forms and repairs the group while its member leads: takes in members that ask, lets them vote
 * once they have caught up, and takes out those that have fallen silent or lost their disk.
 *
 * <p>A new voter comes in before the old one goes out. So while the lost one still counts, all that
 * is committed is on each of the others, and two further losses right after the repair lose
 * nothing.
 */
final class MembershipReconciler {

  private static final long NS_PER_MS = 1_000_000L;

  /** Time between two looks; a tenth of the time in which the users' pages want a repair done. */
  private static final long CHECK_INTERVAL_NS = 200 * NS_PER_MS;

  /** Age at which a request to join no longer shows that its sender runs: five times its pace. */
  private static final long JOIN_TIMEOUT_NS = 1_500 * NS_PER_MS;

  /** Learners kept at most, so that strangers can't make the group's messages grow. */
  private static final int MAX_LEARNERS = 4;

  private record Joiner(Member member, long heardNs) {}

  private final RepairSettings settings;
  private final ReplicatedStateMachine replicated;
  private final MemberId self;
  private final long beganNs;
  private final Map<MemberId, Joiner> joiners = new LinkedHashMap<>();
  private final Map<MemberId, Long> learnersSinceNs = new HashMap<>();
  private long nextCheckNs;
  private boolean proposed;

  MembershipReconciler(
      RepairSettings settings, ReplicatedStateMachine replicated, MemberId self, long nowNs) {
    this.settings = settings;
    this.replicated = replicated;
    this.self = self;
    beganNs = nowNs;
    nextCheckNs = nowNs;
  }

  /** Notes that a member runs and wants to belong to the group. */
  void heard(Member member, long nowNs) {
    joiners.put(member.id(), new Joiner(member, nowNs));
  }

  OptionalLong nextWakeupNs() {
    return OptionalLong.of(nextCheckNs);
  }

  /** Proposes the next step, if one is due. */
  void tick(long nowNs) {
    if (nowNs < nextCheckNs) {
      return;
    }
    nextCheckNs = nowNs + CHECK_INTERVAL_NS;
    joiners.values().removeIf(joiner -> nowNs - joiner.heardNs() > JOIN_TIMEOUT_NS);
    if (proposed || !replicated.replica().isMembershipCommitted()) {
      return;
    }
    nextStep(replicated.replica().membership(), nowNs).ifPresent(step -> propose(step, nowNs));
  }

  private Optional<MembershipChange> nextStep(Membership members, long nowNs) {
    noteLearners(members, nowNs);
    return surplusVoter(members, nowNs)
        .or(() -> learnerToPromote(members, nowNs))
        .or(() -> learnerToForget(members, nowNs))
        .or(() -> newcomer(members));
  }

  /** Takes out a voter that there is one too many of, or whose VM has another one by now. */
  private Optional<MembershipChange> surplusVoter(Membership members, long nowNs) {
    boolean tooMany = members.voters().size() > settings.targetVoters();
    return members.voters().stream()
        .filter(voter -> !voter.id().equals(self))
        .filter(voter -> tooMany || hasSuccessor(members.voters(), voter, nowNs))
        .max(Comparator.comparingLong(voter -> silentNs(voter.id(), nowNs)))
        .map(voter -> new MembershipChange.RemoveMember(voter.id()));
  }

  private boolean hasSuccessor(List<Member> voters, Member voter, long nowNs) {
    return voters.stream()
        .filter(other -> !other.id().equals(voter.id()) && other.vm().equals(voter.vm()))
        .anyMatch(other -> silentNs(other.id(), nowNs) < silentNs(voter.id(), nowNs));
  }

  /** Lets a learner vote if the group wants another voter or the learner replaces one. */
  private Optional<MembershipChange> learnerToPromote(Membership members, long nowNs) {
    boolean wanted = members.voters().size() < settings.targetVoters();
    boolean someSilent =
        members.voters().stream()
            .anyMatch(voter -> silentNs(voter.id(), nowNs) > settings.voterTimeoutMs() * NS_PER_MS);
    return members.learners().stream()
        .filter(learner -> wanted || someSilent || replaces(members, learner.vm()))
        .min(Comparator.comparingLong(learner -> silentNs(learner.id(), nowNs)))
        .map(learner -> new MembershipChange.PromoteLearner(learner.id()));
  }

  private static boolean replaces(Membership members, VmId vm) {
    return members.voters().stream().anyMatch(voter -> voter.vm().equals(vm));
  }

  private Optional<MembershipChange> learnerToForget(Membership members, long nowNs) {
    return members.learners().stream()
        .filter(learner -> !joiners.containsKey(learner.id()))
        .filter(learner -> learnerSilentNs(learner.id(), nowNs) > forgottenNs())
        .findFirst()
        .map(learner -> new MembershipChange.RemoveMember(learner.id()));
  }

  private long forgottenNs() {
    return settings.learnerTimeoutMs() * NS_PER_MS;
  }

  private Optional<MembershipChange> newcomer(Membership members) {
    if (members.learners().size() >= MAX_LEARNERS) {
      return Optional.empty();
    }
    return joiners.values().stream()
        .map(Joiner::member)
        .filter(joiner -> !members.contains(joiner.id()))
        .findFirst()
        .map(MembershipChange.AddLearner::new);
  }

  private void noteLearners(Membership members, long nowNs) {
    learnersSinceNs.keySet().removeIf(id -> !members.isLearner(id));
    members.learners().forEach(learner -> learnersSinceNs.putIfAbsent(learner.id(), nowNs));
  }

  private long learnerSilentNs(MemberId id, long nowNs) {
    long knownNs = nowNs - learnersSinceNs.getOrDefault(id, nowNs);
    return Math.min(knownNs, silentNs(id, nowNs));
  }

  /** Returns for how long a member hasn't answered; this member itself always has. */
  private long silentNs(MemberId id, long nowNs) {
    if (id.equals(self)) {
      return 0;
    }
    return nowNs - replicated.replica().answeredNs(id).orElse(beganNs);
  }

  private void propose(MembershipChange step, long nowNs) {
    proposed = true;
    replicated.propose(step, new StepCallback(), nowNs);
  }

  private final class StepCallback implements ProposalCallback {

    @Override
    public void committed(CommandResult result, long nowNs) {
      proposed = false;
    }

    @Override
    public void rejected(ProposalRejection reason, long nowNs) {
      proposed = false;
    }

    @Override
    public void outcomeIndeterminate(long nowNs) {
      proposed = false;
    }
  }
}
