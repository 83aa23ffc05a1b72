package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.Membership;

/** Tests that a group forms and repairs itself without an operator's command. */
class MembershipReconcilerTest {

  /** Time that deployments give a new member to become a voter. */
  private static final long CATCH_UP_MS = 4_000;

  private final FakeControlGroup group = new FakeControlGroup(3);

  private void start() {
    group.useRepair(2);
    group.start();
  }

  private Set<String> voters() {
    return membership().voters().stream()
        .map(Member::id)
        .map(MemberId::value)
        .collect(Collectors.toSet());
  }

  private Membership membership() {
    FakeControlMember leader = group.leader();
    StatusOf status = new StatusOf(group.call(leader, new OperatorRequest.ReadStatus()));
    return status.membership();
  }

  private OperatorResult install(long version) {
    InstalledPlan installed = new InstalledPlan(TestPlans.plan(version), "text of " + version);
    return group.call(group.leader(), new OperatorRequest.InstallPlan(installed));
  }

  private long readVersion() {
    OperatorResult result = group.call(group.leader(), new OperatorRequest.ReadPlan());
    return ((OperatorResult.PlanRead) result).installed().orElseThrow().plan().version();
  }

  private void startFiveMembers() {
    start();
    group.join("c4", "control-4");
    group.join("c5", "control-5");
    group.run(CATCH_UP_MS);
  }

  @Test
  void addsJoiningMembers() {
    startFiveMembers();
    assertThat(voters()).containsExactlyInAnyOrder("c1", "c2", "c3", "c4", "c5");
  }

  /**
   * A member is lost for good and an empty one joins at another address. When the time to catch up
   * has passed, two more members are lost: the remaining ones must keep serving and still have all
   * accepted data.
   */
  @Test
  void replacesMemberThatIsGone() {
    startFiveMembers();
    install(7);
    FakeControlMember gone = anotherMember(group.leader());
    gone.kill();
    group.run(1_000);
    group.join("c6", "control-6");
    group.run(CATCH_UP_MS);
    assertThat(voters()).hasSize(5).contains("c6").doesNotContain(gone.member().id().value());
    FakeControlMember leader = group.leader();
    leader.kill();
    anotherMember(leader).kill();
    group.run(3_000);
    assertThat(readVersion()).isEqualTo(7);
  }

  /**
   * A member comes back at its address with an empty disk. Its old identity would still count for
   * entries that it has lost; it must be removed, and the new identity must become a voter instead.
   */
  @Test
  void replacesMemberThatLostItsDisk() {
    startFiveMembers();
    install(7);
    FakeControlMember wiped = anotherMember(group.leader());
    wiped.kill();
    group.join("c7", wiped.member().vm().value());
    group.run(CATCH_UP_MS);
    assertThat(voters()).hasSize(5).contains("c7").doesNotContain(wiped.member().id().value());
    assertThat(readVersion()).isEqualTo(7);
  }

  /**
   * Guards against a repair that never goes on: a VM loses its disk again while its new member is
   * still a learner, and the learner that is gone keeps the next one from being added.
   */
  @Test
  void replacesLearnerThatLostItsDisk() {
    startFiveMembers();
    FakeControlMember wiped = anotherMember(group.leader());
    wiped.kill();
    FakeControlMember learner = group.join("c7", wiped.member().vm().value());
    for (int i = 0; i < 100 && !isLearner("c7"); i++) {
      group.run(10);
    }
    learner.kill();
    group.run(1_000);
    group.join("c8", wiped.member().vm().value());
    group.run(CATCH_UP_MS);
    assertThat(voters()).hasSize(5).contains("c8");
  }

  /**
   * Guards against a group without a quorum for good: a VM loses its disk again just when its new
   * member has become a voter, and the leader's VM with it, so that two VMs are lost.
   */
  @Test
  void bearsVmThatLosesItsDiskTwiceBesideLeader() {
    startFiveMembers();
    install(7);
    FakeControlMember wiped = anotherMember(group.leader());
    wiped.kill();
    FakeControlMember successor = group.join("c7", wiped.member().vm().value());
    awaitVoter("c7");
    FakeControlMember leader = group.leader();
    successor.kill();
    leader.kill();
    group.run(1_000);
    group.join("c8", wiped.member().vm().value());
    group.join("c9", leader.member().vm().value());
    group.run(CATCH_UP_MS);
    assertThat(voters()).hasSize(5).contains("c8", "c9");
    assertThat(readVersion()).isEqualTo(7);
  }

  /**
   * Guards against an accepted change that rests on two disks only: of five voters two are lost,
   * and if both were removed before a new one votes, two of three would be a quorum.
   */
  @Test
  void quorumIsNeverSmallerThanLossesRequire() {
    startFiveMembers();
    FakeControlMember first = anotherMember(group.leader());
    FakeControlMember second = anotherMember(group.leader(), first);
    first.kill();
    second.kill();
    group.join("c7", first.member().vm().value());
    group.join("c8", second.member().vm().value());
    for (int waitedMs = 0; waitedMs < CATCH_UP_MS; waitedMs += 10) {
      assertThat(group.leader().control().membership().quorumCount()).isGreaterThanOrEqualTo(3);
      group.run(10);
    }
    assertThat(voters()).hasSize(5).contains("c7", "c8");
  }

  /**
   * A member is down for a short time and no other member waits to replace it; it must remain a
   * voter.
   */
  @Test
  void keepsSilentMemberWithoutSuccessor() {
    startFiveMembers();
    FakeControlMember down = anotherMember(group.leader());
    down.kill();
    group.run(CATCH_UP_MS);
    assertThat(voters()).contains(down.member().id().value());
  }

  /**
   * Installing an older version, or other content under the installed version, must have no effect.
   */
  @Test
  void highestVersionCounts() {
    startFiveMembers();
    assertThat(install(9)).isInstanceOf(OperatorResult.PlatformRequestCompleted.class);
    assertThat(install(7)).isInstanceOf(OperatorResult.PlatformRequestCompleted.class);
    assertThat(readVersion()).isEqualTo(9);
  }

  /**
   * A leader was partitioned and replaced, and does not know it. A read from it must not return the
   * previous plan.
   */
  @Test
  void partitionedLeaderServesNoRead() {
    startFiveMembers();
    install(7);
    FakeControlMember old = group.leader();
    old.setPartitioned(true);
    OperatorResult stale = group.call(old, new OperatorRequest.ReadPlan());
    assertThat(stale instanceof OperatorResult.PlanRead).isFalse();
  }

  private boolean isLearner(String id) {
    return group.leader().control().membership().isLearner(new MemberId(id));
  }

  private void awaitVoter(String id) {
    for (int waitedMs = 0; waitedMs < CATCH_UP_MS; waitedMs += 10) {
      if (group.leader().control().membership().isVoter(new MemberId(id))) {
        return;
      }
      group.run(10);
    }
    throw new AssertionError(id + " is no voter after " + CATCH_UP_MS + " ms");
  }

  private FakeControlMember anotherMember(FakeControlMember... excluded) {
    return group.members().stream()
        .filter(member -> !List.of(excluded).contains(member) && member.control() != null)
        .findFirst()
        .orElseThrow();
  }

  /** Extracts the membership from a status. */
  private record StatusOf(OperatorResult result) {
    Membership membership() {
      return ((OperatorResult.StatusRead) result).status().membership();
    }
  }
}
