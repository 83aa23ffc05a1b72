package org.teaseltrail.core.replication;

import java.util.Optional;
import java.util.SplittableRandom;

/** Runs a group under load with random faults, and replaces a member that has lost its disk. */
final class FaultRun {

  private static final long STEP_NS = 20 * FakeGroup.MS;

  private final FakeGroup group;
  private Optional<FakeMember> lostMember = Optional.empty();
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
        faults[group.random().nextInt(faults.length)].inject(this, group);
      }
      repair();
      group.run(STEP_NS);
    }
    group.convergeAndCheck();
  }

  /**
   * Loses the disk of one voter; the next disk may be lost only after the replacement is complete.
   */
  void loseDisk() {
    if (lostMember.isPresent() || group.leader().isEmpty()) {
      return;
    }
    FakeMember member = group.anyMember();
    if (!group.leader().get().membership().isVoter(member.id())) {
      return;
    }
    lostMember = Optional.of(member);
    group.destroy(member);
    Member successor = group.newMember(member.member().vm().value());
    replacement = Optional.of(group.start(successor, RecoveredState.empty()));
  }

  private void load() {
    for (FakeMember member : group.members().toArray(FakeMember[]::new)) {
      if (member.isLeader()) {
        group.propose(member);
        member.read(reads++);
      }
    }
  }

  private void repair() {
    if (lostMember.isEmpty() || group.leader().isEmpty()) {
      return;
    }
    if (repair(group.leader().get(), lostMember.get(), replacement.orElseThrow())) {
      lostMember = Optional.empty();
    }
  }

  /**
   * Proposes the next step of a member replacement and returns whether it is complete. The lost
   * voter is removed first if the quorum stays as large, otherwise last.
   */
  static boolean repair(FakeMember leader, FakeMember lostMember, FakeMember added) {
    Membership membership = leader.membership();
    boolean quorumStays = membership.voters().size() % 2 == 1;
    if (quorumStays && membership.contains(lostMember.id()) && !leader.equals(lostMember)) {
      propose(leader, new MembershipChange.RemoveMember(lostMember.id()));
    } else if (!membership.contains(added.id())) {
      propose(leader, new MembershipChange.AddLearner(added.member()));
    } else if (membership.isLearner(added.id())) {
      propose(leader, new MembershipChange.PromoteLearner(added.id()));
    } else if (membership.contains(lostMember.id())) {
      propose(leader, new MembershipChange.RemoveMember(lostMember.id()));
    } else {
      return leader.replica().isMembershipCommitted();
    }
    return false;
  }

  private static void propose(FakeMember leader, MembershipChange change) {
    leader.handle(new ReplicaEvent.ProposeMembership(0, change));
  }
}
