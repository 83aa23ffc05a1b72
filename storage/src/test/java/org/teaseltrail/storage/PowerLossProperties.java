package org.teaseltrail.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tag;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.RecoveredState;
import org.teaseltrail.core.replication.ReplicaAction;

/**
 * Guards against losing an accepted change, or a member that can't start, after a power loss at any
 * file operation of an append, vote, truncation or snapshot. Either happens if a write is reported
 * as synced too early, if files are replaced in the wrong order, or if the removal of one file
 * survives and that of another doesn't.
 */
class PowerLossProperties {

  private static final Path PATH = Path.of("data");
  private static final long SEGMENT_BYTES = 200;
  private static final int MAX_STEPS = 1_000;

  @Property(seed = "4711", tries = 25, shrinking = ShrinkingMode.OFF)
  void syncedWritesSurvivePowerLossAtEveryOperation(@ForAll long seed) {
    for (int steps = 0; steps < MAX_STEPS; steps++) {
      SplittableRandom random = new SplittableRandom(seed + steps);
      FakeFileSystem files = new FakeFileSystem();
      ReplicaStorage.createGroup(files, PATH, WriteSequence.IDENTITY);
      WriteSequence script = WriteSequence.ofAllWriteTypes();
      files.losePowerAfterOperations(steps);
      int synced = runUntilPowerLoss(files, script, random);
      files.losePower(random);
      checkRecovery(files, script, synced);
      checkWritesAfterRecovery(files, random);
      if (synced == script.writes().size()) {
        return;
      }
    }
    throw new AssertionError("write sequence not finished within " + MAX_STEPS + " steps");
  }

  @Property(seed = "4711", tries = 1_000, shrinking = ShrinkingMode.OFF)
  void syncedWritesSurvivePowerLossWithRandomWrites(@ForAll long seed) {
    checkRandomWrites(seed);
  }

  /** Runs with a fresh seed each time; jqwik prints the seed of a failure. */
  @Tag("long-run")
  @Property(tries = 100_000, shrinking = ShrinkingMode.OFF)
  void syncedWritesSurvivePowerLossWithFreshSeeds(@ForAll long seed) {
    checkRandomWrites(seed);
  }

  private static void checkRandomWrites(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    FakeFileSystem files = new FakeFileSystem();
    ReplicaStorage.createGroup(files, PATH, WriteSequence.IDENTITY);
    WriteSequence script = WriteSequence.random(random);
    files.losePowerAfterOperations(random.nextInt(150));
    int synced = runUntilPowerLoss(files, script, random);
    files.losePower(random);
    checkRecovery(files, script, synced);
    checkWritesAfterRecovery(files, random);
  }

  @Property(seed = "4711", tries = 20, shrinking = ShrinkingMode.OFF)
  void groupCreationCanBeRetriedAfterPowerLoss(@ForAll long seed) {
    for (int steps = 0; steps < 40; steps++) {
      FakeFileSystem files = new FakeFileSystem();
      files.losePowerAfterOperations(steps);
      try {
        ReplicaStorage.createGroup(files, PATH, WriteSequence.IDENTITY);
      } catch (StorageException e) {
        files.losePower(new SplittableRandom(seed + steps));
        createUnlessExists(files);
      }
      files.losePowerAfterOperations(MAX_STEPS);
      try (ReplicaStorage folder = open(files)) {
        assertThat(folder.takeRecoveredState()).isEqualTo(new WriteSequence().stateAfter(0));
      }
    }
  }

  private static void createUnlessExists(FakeFileSystem files) {
    try {
      ReplicaStorage.createGroup(files, PATH, WriteSequence.IDENTITY);
    } catch (FolderExistsException e) {
      assertThat(files.list(PATH)).contains("identity");
    }
  }

  private static ReplicaStorage open(FakeFileSystem files) {
    return ReplicaStorage.open(files, PATH, WriteSequence.GROUP, SEGMENT_BYTES);
  }

  /** Returns the number of writes that were reported as synced. */
  private static int runUntilPowerLoss(
      FakeFileSystem files, WriteSequence script, SplittableRandom random) {
    int synced = 0;
    try (ReplicaStorage folder = open(files)) {
      for (ReplicaAction.Write write : script.writes()) {
        folder.write(write);
        if (random.nextInt(3) == 0) {
          synced = (int) folder.sync();
        }
      }
      synced = (int) folder.sync();
    } catch (StorageException e) {
      assertThat(e).isInstanceOf(StorageIoException.class);
    }
    return synced;
  }

  /** Asserts that the recovered state is the last one reported as synced or a later one. */
  private static void checkRecovery(FakeFileSystem files, WriteSequence script, int synced) {
    try (ReplicaStorage folder = open(files)) {
      RecoveredState recovered = folder.takeRecoveredState();
      boolean found =
          IntStream.rangeClosed(synced, script.writes().size())
              .anyMatch(count -> script.stateAfter(count).equals(recovered));
      if (!found) {
        checkPartiallyAppliedWrite(recovered, script, synced);
      }
    }
  }

  /** Allows for an unsynced append or truncation that was applied to only some of its entries. */
  private static void checkPartiallyAppliedWrite(
      RecoveredState recovered, WriteSequence script, int synced) {
    for (int count = synced; count < script.writes().size(); count++) {
      RecoveredState before = script.stateAfter(count);
      RecoveredState after = script.stateAfter(count + 1);
      boolean between =
          recovered.vote().equals(before.vote())
              && recovered.snapshot().equals(before.snapshot())
              && after.snapshot().equals(before.snapshot())
              && isBetween(recovered.entries(), before.entries(), after.entries());
      if (between) {
        return;
      }
    }
    throw new AssertionError(
        "recovered state does not match any state from write " + synced + ": " + recovered);
  }

  private static boolean isBetween(
      List<LogEntry> entries, List<LogEntry> one, List<LogEntry> other) {
    List<LogEntry> longer = one.size() > other.size() ? one : other;
    int size = entries.size();
    return size >= Math.min(one.size(), other.size())
        && size <= longer.size()
        && entries.equals(longer.subList(0, size));
  }

  /** Asserts that writes after a recovery survive a second power loss. */
  private static void checkWritesAfterRecovery(FakeFileSystem files, SplittableRandom random) {
    WriteSequence more;
    try (ReplicaStorage folder = open(files)) {
      more = new WriteSequence(folder.takeRecoveredState()).append(9, 2).vote(9).append(9, 1);
      more.writes().forEach(folder::write);
      folder.sync();
    }
    files.losePower(random);
    try (ReplicaStorage folder = open(files)) {
      assertThat(folder.takeRecoveredState()).isEqualTo(more.stateAfter(3));
    }
  }
}
