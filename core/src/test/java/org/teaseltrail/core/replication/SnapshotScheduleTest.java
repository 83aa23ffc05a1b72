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
   * Guards against snapshots of a large state every few thousand commands: they keep the disk busy
   * and delay claims.
   */
  @Test
  void notDueBeforeCommandsAreAsLargeAsState() {
    SnapshotScheduler schedule = new SnapshotScheduler(FakeGroup.SETTINGS, new SplittableRandom(1));
    Snapshot large = new Snapshot(1, 1, Membership.empty(), new byte[1_000]);
    assertThat(schedule.isDue(entries(99), Optional.of(large))).isFalse();
    assertThat(schedule.isDue(entries(1), Optional.of(large))).isTrue();
    assertThat(schedule.isDue(entries(100), Optional.of(large)))
        .as("due again before the snapshot was taken")
        .isFalse();
  }

  /**
   * Guards against all members saving their snapshots after the same command: all syncs would stall
   * at the same time and delay every claim.
   */
  @Test
  void membersTakeSnapshotsAtDifferentIndexes() {
    Set<Integer> indexes = new HashSet<>();
    for (int member = 0; member < 20; member++) {
      SnapshotScheduler schedule =
          new SnapshotScheduler(FakeGroup.SETTINGS, new SplittableRandom(member));
      int index = 1;
      while (!schedule.isDue(entries(1), Optional.empty())) {
        index++;
      }
      indexes.add(index);
    }
    assertThat(indexes).allMatch(index -> index >= 20 && index <= 30).hasSizeGreaterThan(3);
  }

  private static List<LogEntry> entries(int count) {
    return Collections.nCopies(count, ENTRY);
  }
}
