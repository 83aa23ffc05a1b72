package org.teaseltrail.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SnapshotScheduleTest {

  private static final SnapshotSettings SETTINGS = new SnapshotSettings(9, 20, 500, 5);
  private static final int ENTRY_BYTES = 10;

  /**
   * Guards against snapshots of a large state every few thousand commands: they keep the disk busy
   * and delay claims.
   */
  @Test
  void notDueBeforeCommandsAreAsLargeAsState() {
    SnapshotScheduler schedule = new SnapshotScheduler(SETTINGS, new SplittableRandom(1));
    int stateBytes = 1_000;
    assertThat(schedule.isDue(99, 99 * ENTRY_BYTES, stateBytes)).isFalse();
    assertThat(schedule.isDue(100, 100 * ENTRY_BYTES, stateBytes)).isTrue();
    assertThat(schedule.isDue(200, 200 * ENTRY_BYTES, stateBytes))
        .as("due again before the snapshot was taken")
        .isFalse();
  }

  /**
   * Guards against a log of a few large commands that fills the memory before a snapshot is due.
   */
  @Test
  void fewLargeCommandsAreDueBySize() {
    SnapshotScheduler schedule = new SnapshotScheduler(SETTINGS, new SplittableRandom(1));
    assertThat(schedule.isDue(2, 499, 0)).isFalse();
    assertThat(schedule.isDue(3, 750, 0)).isTrue();
  }

  /**
   * Guards against all members saving their snapshots after the same command: all syncs would stall
   * at the same time and delay every claim.
   */
  @Test
  void membersTakeSnapshotsAtDifferentIndexes() {
    Set<Integer> indexes = new HashSet<>();
    for (int member = 0; member < 20; member++) {
      SnapshotScheduler schedule = new SnapshotScheduler(SETTINGS, new SplittableRandom(member));
      int index = 1;
      while (!schedule.isDue(index, index * ENTRY_BYTES, 0)) {
        index++;
      }
      indexes.add(index);
    }
    assertThat(indexes).allMatch(index -> index >= 20 && index <= 30).hasSizeGreaterThan(3);
  }

  /** Guards against the same with commands so large that their size decides. */
  @Test
  void membersTakeSnapshotsOfLargeCommandsAtDifferentIndexes() {
    SnapshotSettings settings = new SnapshotSettings(9, 1_000, 500, 5);
    Set<Integer> sizes = new HashSet<>();
    for (int member = 0; member < 20; member++) {
      SnapshotScheduler schedule = new SnapshotScheduler(settings, new SplittableRandom(member));
      int bytes = 1;
      while (!schedule.isDue(1, bytes, 0)) {
        bytes++;
      }
      sizes.add(bytes);
    }
    assertThat(sizes).allMatch(size -> size >= 500 && size <= 750).hasSizeGreaterThan(10);
  }
}
