package org.teaseltrail.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Commands that each hold a large configuration, as many as an operator may send in an hour. */
class LogSizeTest {

  private static final int COMMAND_BYTES = 170_000;
  private static final int COMMANDS = 300;

  /** A quarter of the heap that a control member is started with. */
  private static final long MAX_LOG_BYTES = 128L * 1024 * 1024 / 4;

  private final FakeGroup group = new FakeGroup(5, 5, ReplicaSettings.defaults());

  /** Guards against members that run out of memory, as only the number of entries is bounded. */
  @Test
  void logOfLargeCommandsStaysWithinItsPartOfTheMemory() {
    changeOften();
    group.convergeAndCheck();
  }

  /** Guards against a log that is retained without end for a member that is slow or away. */
  @Test
  void logStaysWithinItsPartOfTheMemoryWhileMembersLag() {
    FakeMember leader = group.awaitLeader();
    FakeMember slow = group.anyExcept(leader);
    group.setExtraDelay(slow, 200 * FakeGroup.MS);
    group.isolate(group.anyExcept(leader, slow));
    changeOften();
    group.setExtraDelay(slow, 0);
    group.convergeAndCheck();
  }

  /** Guards against a leader whose disk hangs and that holds all that waits for it in memory. */
  @Test
  void whatWaitsForHangingDiskOfLeaderIsBounded() {
    FakeMember leader = group.awaitLeader();
    leader.setDiskHangs(true);
    for (int i = 0; i < COMMANDS; i++) {
      group.propose(leader, COMMAND_BYTES);
      group.run(20 * FakeGroup.MS);
      assertThat(leader.disk().unsyncedBytes()).isLessThan(MAX_LOG_BYTES);
    }
    leader.setDiskHangs(false);
    group.convergeAndCheck();
  }

  /** Guards against a member that can't start, since it reads more than its memory holds. */
  @Test
  void memberReadsBoundedLogWhenItStarts() {
    changeOften();
    for (FakeMember member : group.members()) {
      assertThat(LogEntry.sizeBytes(member.disk().recovered().entries())).isLessThan(MAX_LOG_BYTES);
    }
  }

  private void changeOften() {
    for (int i = 0; i < COMMANDS; i++) {
      group.propose(group.awaitLeader(), COMMAND_BYTES);
      group.run(20 * FakeGroup.MS);
      for (FakeMember member : group.members()) {
        assertThat(member.replica().logStatus().heldBytes()).isLessThan(MAX_LOG_BYTES);
      }
    }
  }
}
