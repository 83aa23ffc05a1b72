package org.teaseltrail.core.replication;

import java.util.Optional;
import java.util.SplittableRandom;

/** Runs a group under load and random faults, and repairs it after a lost disk. */
final class FaultRun {

  private static final long STEP_NS = 20 * FakeGroup.MS;

  private final FakeGroup group;
  private Optional<FakeMember> lost = Optional.empty();
  private Optional<FakeMember> replacement = Optional.empty();
  private long reads;

  FaultRun(long seed) {
    this.group = new FakeGroup(seed, new SplittableRandom(seed).nextInt(3, 6));
  }

  FakeGroup group() {
    return group;
  }

  void run(int steps) {
    for (int i = 0; i < steps; i++) {
      load();
      if (group.random().nextInt(12) == 0) {
        Fault[] faults = Fault.values();
        faults[group.random().nextInt(faults.length)].happen(this, group);
      }
      repair();
      group.run(STEP_NS);
    }
    group.settle();
  }

  /** Loses one disk; the next one may go as soon as the repair is done, not before. */
  void loseDisk() {
    if (lost.isPresent() || group.leader().isEmpty()) {
      return;
    }
    FakeMember member = group.anyMember();
    if (!group.leader().get().membership().isVoter(member.id())) {
      return;
    }
    lost = Optional.of(member);
    group.destroy(member);
    Member successor = group.newMember(member.member().vm().value());
    replacement = Optional.of(group.start(successor, RecoveredState.empty()));
  }

  private void load() {
    for (FakeMember member : group.members().toArray(FakeMember[]::new)) {
      if (member.leads()) {
        group.propose(member);
        member.read(reads++);
      }
    }
  }

  private void repair() {
    if (lost.isEmpty() || group.leader().isEmpty()) {
      return;
    }
    FakeMember leader = group.leader().get();
    Membership membership = leader.membership();
    FakeMember added = replacement.orElseThrow();
    if (!membership.contains(added.id())) {
      propose(leader, new MembershipChange.AddLearner(added.member()));
    } else if (membership.isLearner(added.id())) {
      propose(leader, new MembershipChange.PromoteLearner(added.id()));
    } else if (membership.contains(lost.get().id())) {
      propose(leader, new MembershipChange.RemoveMember(lost.get().id()));
    } else if (leader.replica().isMembershipCommitted()) {
      lost = Optional.empty();
    }
  }

  private static void propose(FakeMember leader, MembershipChange change) {
    leader.handle(new ReplicaEvent.ProposeMembership(0, change));
  }
}
