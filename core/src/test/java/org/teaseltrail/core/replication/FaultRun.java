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
    if (repair(group.leader().get(), lost.get(), replacement.orElseThrow())) {
      lost = Optional.empty();
    }
  }

  /** Takes the next step of a repair and tells whether it is done. */
  static boolean repair(FakeMember leader, FakeMember lost, FakeMember added) {
    Membership membership = leader.membership();
    if (!membership.contains(added.id())) {
      propose(leader, new MembershipChange.AddLearner(added.member()));
    } else if (membership.isLearner(added.id())) {
      propose(leader, new MembershipChange.PromoteLearner(added.id()));
    } else if (membership.contains(lost.id())) {
      propose(leader, new MembershipChange.RemoveMember(lost.id()));
    } else {
      return leader.replica().isMembershipCommitted();
    }
    return false;
  }

  private static void propose(FakeMember leader, MembershipChange change) {
    leader.handle(new ReplicaEvent.ProposeMembership(0, change));
  }
}
