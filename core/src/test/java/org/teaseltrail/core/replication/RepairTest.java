package org.teaseltrail.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Replaces a member that has lost its disk, then loses a second VM with its disk. Accepted changes
 * would be lost if the new member counted as a voter before it had synced everything that the lost
 * member held; the last old member alone may lack the latest entries.
 */
class RepairTest {

  private static final long STEP_NS = FakeGroup.MS;
  private static final int MAX_STEPS = 5_000;

  /** Half of the time that deployments give a new member; its start takes the other half. */
  private static final int MAX_REPAIR_MS = 2_000;

  private static final int COMMAND_BYTES = 175_000;
  private static final int CHANGE_INTERVAL_MS = 60;

  @Test
  void secondDiskLossAfterRepairLosesNoCommittedEntry() {
    for (int seed = 0; seed < 30; seed++) {
      FakeGroup group = new FakeGroup(seed, 3);
      loseAndRepair(group, group.anyExcept(group.awaitLeader()));
      FakeMember leader = group.awaitLeader();
      long committedIndex = group.history().committedIndex();
      loseAndRepair(group, seed % 2 == 0 ? leader : group.anyExcept(leader));
      group.convergeAndCheck();
      assertThat(group.history().committedIndex()).isGreaterThan(committedIndex);
    }
  }

  /**
   * Guards against a learner that never catches up: while a large snapshot is sent to it and
   * commands keep arriving, the leader takes newer snapshots and drops the log after the first, so
   * the learner is sent one snapshot after another.
   */
  @Test
  void learnerCatchesUpWhileSnapshotsAreTaken() {
    FakeGroup group = new FakeGroup(3, 3);
    group.setStateBytes(150);
    FakeMember learner = addLearner(group);
    load(group, 3_000);
    assertThat(group.history().committedIndex() - learner.appliedIndex()).isLessThan(30);
  }

  /**
   * Guards against a learner with a longer round trip that is never promoted: it always lags by
   * some commands, so a comparison with the current commit index would never succeed.
   */
  @Test
  void distantLearnerIsPromotedUnderLoad() {
    FakeGroup group = new FakeGroup(4, 3);
    FakeMember learner = addLearner(group);
    group.setExtraDelay(learner, 5 * FakeGroup.MS);
    load(group, 2_000);
    group.awaitLeader().handle(promotion(learner));
    load(group, 100);
    assertThat(group.awaitLeader().membership().isVoter(learner.id())).isTrue();
  }

  /**
   * Guards against a new member that votes too late, as it is sent hundreds of commands that later
   * ones have replaced: a further loss then leaves the group without a quorum for good.
   */
  @Test
  void learnerVotesInTimeAfterManyLargeCommands() {
    FakeGroup group = new FakeGroup(6, 5, ReplicaSettings.defaults());
    group.setStateBytes(COMMAND_BYTES);
    for (int i = 0; i < 450; i++) {
      change(group);
    }
    group.setPace(20_000);
    FakeMember learner = group.start(group.newMember("c9"), RecoveredState.empty());
    MembershipChange add = new MembershipChange.AddLearner(learner.member());
    group.awaitLeader().handle(new ReplicaEvent.ProposeMembership(0, add));
    for (int elapsedMs = 0; elapsedMs < MAX_REPAIR_MS; elapsedMs += CHANGE_INTERVAL_MS) {
      change(group);
      group.awaitLeader().handle(promotion(learner));
    }
    assertThat(group.awaitLeader().membership().isVoter(learner.id())).isTrue();
  }

  private static void change(FakeGroup group) {
    group.propose(group.awaitLeader(), COMMAND_BYTES);
    group.run(CHANGE_INTERVAL_MS * FakeGroup.MS);
  }

  private static ReplicaEvent promotion(FakeMember learner) {
    return new ReplicaEvent.ProposeMembership(0, new MembershipChange.PromoteLearner(learner.id()));
  }

  private static FakeMember addLearner(FakeGroup group) {
    FakeMember leader = group.awaitLeader();
    load(group, 200);
    FakeMember learner = group.start(group.newMember("c9"), RecoveredState.empty());
    MembershipChange add = new MembershipChange.AddLearner(learner.member());
    leader.handle(new ReplicaEvent.ProposeMembership(0, add));
    return learner;
  }

  private static void load(FakeGroup group, int durationMs) {
    for (int i = 0; i < durationMs; i += 2) {
      group.propose(group.awaitLeader());
      group.run(2 * FakeGroup.MS);
    }
  }

  /** Loses a member under load and returns as soon as it is replaced. */
  private static void loseAndRepair(FakeGroup group, FakeMember lost) {
    group.destroy(lost);
    FakeMember added =
        group.start(group.newMember(lost.member().vm().value()), RecoveredState.empty());
    for (int i = 0; i < MAX_STEPS; i++) {
      if (group.leader().isPresent()) {
        FakeMember leader = group.leader().get();
        group.propose(leader);
        if (FaultRun.repair(leader, lost, added)) {
          return;
        }
      }
      group.run(STEP_NS);
    }
    throw new AssertionError("member not replaced within " + MAX_STEPS + " steps");
  }
}
