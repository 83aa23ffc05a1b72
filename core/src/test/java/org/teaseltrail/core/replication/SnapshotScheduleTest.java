package org.teaseltrail.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SnapshotScheduleTest {

  private static final LogEntry ENTRY =
      new LogEntry(1, 1, new EntryPayload.CommandPayload(new byte[10]));

  /**
   * Story: the state has grown large, and a snapshot of it is written every few thousand commands.
   * The disk is busy with snapshots, and users see claims wait.
   */
  @Test
  void waitsUntilCommandsAreAsLargeAsTheState() {
    SnapshotSchedule schedule = new SnapshotSchedule(FakeGroup.SETTINGS, new SplittableRandom(1));
    Snapshot large = new Snapshot(1, 1, Membership.empty(), new byte[1_000]);
    assertThat(schedule.isDue(entries(99), Optional.of(large))).isFalse();
    assertThat(schedule.isDue(entries(1), Optional.of(large))).isTrue();
    assertThat(schedule.isDue(entries(100), Optional.of(large))).as("asked for twice").isFalse();
  }

  /**
   * Story: every member writes its snapshot after the same command, so all syncs stall together,
   * and users see every claim wait at once.
   */
  @Test
  void membersDrawMomentsOfTheirOwn() {
    Set<Integer> moments = new HashSet<>();
    for (int member = 0; member < 20; member++) {
      SnapshotSchedule schedule =
          new SnapshotSchedule(FakeGroup.SETTINGS, new SplittableRandom(member));
      int moment = 1;
      while (!schedule.isDue(entries(1), Optional.empty())) {
        moment++;
      }
      moments.add(moment);
    }
    assertThat(moments).allMatch(moment -> moment >= 20 && moment <= 30).hasSizeGreaterThan(3);
  }

  private static List<LogEntry> entries(int count) {
    return Collections.nCopies(count, ENTRY);
  }
}
