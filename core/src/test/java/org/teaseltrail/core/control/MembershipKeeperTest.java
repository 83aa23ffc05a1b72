package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.Membership;

/** Forms a group by itself and repairs it, with nobody who types a command. */
class MembershipKeeperTest {

  /** Time that the users' deployments give a new member to count. */
  private static final long CATCH_UP_MS = 4_000;

  private final FakeControlGroup group = new FakeControlGroup(3);

  private void start() {
    ControlSettings standard = ControlSettings.DEFAULT;
    group.use(
        new ControlSettings(
            standard.sessions(),
            standard.claims(),
            standard.claimExpiryIntervalMs(),
            standard.placement(),
            standard.seed(),
            standard.quotas(),
            standard.rollouts(),
            Optional.of(RepairSettings.tolerating(2))));
    group.start();
  }

  private Set<String> voters() {
    return membership().voters().stream()
        .map(Member::id)
        .map(MemberId::value)
        .collect(Collectors.toSet());
  }

  private Membership membership() {
    FakeControl leader = group.leader();
    StatusOf status = new StatusOf(group.ask(leader, new OperatorRequest.ReadStatus()));
    return status.membership();
  }

  private OperatorResult install(long version) {
    InstalledPlan installed = new InstalledPlan(TestPlans.plan(version), "text of " + version);
    return group.ask(group.leader(), new OperatorRequest.InstallPlan(installed));
  }

  private long readVersion() {
    OperatorResult result = group.ask(group.leader(), new OperatorRequest.ReadPlan());
    return ((OperatorResult.PlanRead) result).installed().orElseThrow().plan().version();
  }

  private void fiveMembers() {
    start();
    group.join("c4", "control-4");
    group.join("c5", "control-5");
    group.run(CATCH_UP_MS);
  }

  @Test
  void takesInWhoAsks() {
    fiveMembers();
    assertThat(voters()).containsExactlyInAnyOrder("c1", "c2", "c3", "c4", "c5");
  }

  /**
   * A member is gone for good and an empty one comes at another address. Within the time to catch
   * up two more are lost: the rest must go on and hold what was accepted.
   */
  @Test
  void replacesMemberThatIsGone() {
    fiveMembers();
    install(7);
    FakeControl gone = other(group.leader());
    gone.kill();
    group.run(1_000);
    group.join("c6", "control-6");
    group.run(CATCH_UP_MS);
    assertThat(voters()).hasSize(5).contains("c6").doesNotContain(gone.member().id().value());
    FakeControl leader = group.leader();
    leader.kill();
    other(leader).kill();
    group.run(3_000);
    assertThat(readVersion()).isEqualTo(7);
  }

  /**
   * A member comes back at its address with an empty disk. Its old identity would be counted for
   * what it has forgotten; it must go, and the new one vote in its place.
   */
  @Test
  void replacesMemberThatLostItsDisk() {
    fiveMembers();
    install(7);
    FakeControl wiped = other(group.leader());
    wiped.kill();
    group.join("c7", wiped.member().vm().value());
    group.run(CATCH_UP_MS);
    assertThat(voters()).hasSize(5).contains("c7").doesNotContain(wiped.member().id().value());
    assertThat(readVersion()).isEqualTo(7);
  }

  /** A member is down for a short time and nobody waits for its place: it keeps it. */
  @Test
  void keepsSilentMemberWithoutSuccessor() {
    fiveMembers();
    FakeControl down = other(group.leader());
    down.kill();
    group.run(CATCH_UP_MS);
    assertThat(voters()).contains(down.member().id().value());
  }

  /**
   * An operator's change of an older version, or other content under the one held, does nothing.
   */
  @Test
  void highestVersionCounts() {
    fiveMembers();
    assertThat(install(9)).isInstanceOf(OperatorResult.PlatformRequestCompleted.class);
    assertThat(install(7)).isInstanceOf(OperatorResult.PlatformRequestCompleted.class);
    assertThat(readVersion()).isEqualTo(9);
  }

  /**
   * A leader was cut off and replaced, and doesn't know it. A read that reaches it must not show
   * the plan from before.
   */
  @Test
  void cutLeaderAnswersNoRead() {
    fiveMembers();
    install(7);
    FakeControl old = group.leader();
    old.cut(true);
    OperatorResult stale = group.ask(old, new OperatorRequest.ReadPlan());
    assertThat(stale instanceof OperatorResult.PlanRead).isFalse();
  }

  private FakeControl other(FakeControl than) {
    return group.members().stream()
        .filter(member -> member != than && member.control() != null)
        .findFirst()
        .orElseThrow();
  }

  /** Reads the members out of a status. */
  private record StatusOf(OperatorResult result) {
    Membership membership() {
      return ((OperatorResult.StatusRead) result).status().membership();
    }
  }
}
