package org.teaseltrail.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Crashes a process at each step of an append, a snapshot or a membership change and restarts it.
 * Guards against a step that relies on the next one being executed: an accepted change would be
 * lost, or the group could no longer elect a leader.
 */
class CrashPointTest {

  private static final int LEADER = 0;
  private static final int FOLLOWER = 1;
  private static final int LEARNER = 2;
  private static final int STEP_INTERVAL = 4;
  private static final int SCRIPT_STEPS = 40;

  @Test
  void groupSurvivesLeaderCrashAtAnyStep() {
    crashAtEveryStep(LEADER);
  }

  @Test
  void groupSurvivesFollowerCrashAtAnyStep() {
    crashAtEveryStep(FOLLOWER);
  }

  @Test
  void groupSurvivesLearnerCrashAtAnyStep() {
    crashAtEveryStep(LEARNER);
  }

  private static void crashAtEveryStep(int role) {
    int step = 0;
    while (crashes(role, step)) {
      step += STEP_INTERVAL;
    }
    assertThat(step).as("steps until the script ends without a crash").isGreaterThan(100);
  }

  /** Runs the script and returns whether it was long enough for the crash to happen. */
  private static boolean crashes(int role, int step) {
    FakeGroup group = new FakeGroup(step, 3);
    FakeMember leader = group.awaitLeader();
    FakeMember lost = group.anyExcept(leader);
    group.destroy(lost);
    FakeMember learner =
        group.start(group.newMember(lost.member().vm().value()), RecoveredState.empty());
    FakeMember target =
        role == LEADER ? leader : role == LEARNER ? learner : group.anyExcept(leader, learner);
    target.crashAfterActions(step);
    for (int i = 0; i < SCRIPT_STEPS; i++) {
      group.leader().ifPresent(group::propose);
      group.leader().ifPresent(member -> FaultRun.repair(member, lost, learner));
      group.run(20 * FakeGroup.MS);
    }
    final boolean crashed = target.hasCrashed();
    target.crashAfterActions(-1);
    group.convergeAndCheck();
    for (int i = 0; i < SCRIPT_STEPS; i++) {
      FaultRun.repair(group.awaitLeader(), lost, learner);
      group.run(20 * FakeGroup.MS);
    }
    assertThat(FaultRun.repair(group.awaitLeader(), lost, learner)).isTrue();
    return crashed;
  }
}
