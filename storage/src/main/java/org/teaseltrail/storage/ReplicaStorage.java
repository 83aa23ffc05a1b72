package org.teaseltrail.storage;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.core.replication.RecoveredState;
import org.teaseltrail.core.replication.ReplicaAction;
import org.teaseltrail.core.replication.Snapshot;
import org.teaseltrail.core.replication.Vote;

/**
 * Durable storage of one control member: its log, vote and snapshot in one data folder.
 *
 * <p>Writes are applied and become durable in the order in which they are submitted; {@link #sync}
 * returns the number of the last durable one. After a failed write all further writes are rejected:
 * it is unknown which data a failed sync has lost, so the folder must be reopened and read again.
 *
 * <p>Not thread-safe.
 *
 * <p>Example:
 *
 * <pre>{@code
 * ReplicaStorage.createGroup(files, path, identity);
 * try (ReplicaStorage folder = ReplicaStorage.open(files, path, group)) {
 *   folder.write(write);
 *   replica.handle(new ReplicaEvent.Persisted(folder.sync()), System.nanoTime());
 * }
 * }</pre>
 */
public final class ReplicaStorage implements AutoCloseable {

  /** Size at which the log rolls to a new segment, in bytes. */
  public static final long DEFAULT_SEGMENT_BYTES = 8L * 1024 * 1024;

  private static final String LOCK_NAME = "lock";

  private final DataFolder folder;
  private final AutoCloseable lock;
  private final FolderIdentity identity;
  private RecoveredState recoveredState;
  private final ChecksummedFile<Vote> voteFile;
  private final SnapshotStore snapshots;
  private final SegmentedLog log;
  private StorageException failure;
  private long lastWriteNumber;

  private ReplicaStorage(DataFolder folder, GroupId group, long segmentBytes) {
    this.folder = folder;
    this.identity = FolderInitializer.loadIdentity(folder, group);
    this.lock = folder.lock(LOCK_NAME);
    this.voteFile = new ChecksummedFile<>(folder, new VoteCodec());
    this.snapshots = new SnapshotStore(folder);
    this.log = new SegmentedLog(folder, segmentBytes);
    try {
      this.recoveredState = recover();
    } catch (RuntimeException e) {
      close();
      throw e;
    }
  }

  /**
   * Creates the folder of the only member of a new group. A group is created only by this explicit
   * call, never implicitly on startup.
   *
   * @param files the file system
   * @param path the folder; may exist if it is empty
   * @param identity the group and its first member
   * @throws FolderExistsException if the folder already holds member state
   * @throws CorruptFolderException if it holds member files but no identity file
   */
  public static void createGroup(FileSystemAccess files, Path path, FolderIdentity identity) {
    List<LogEntry> initialEntries = RecoveredState.newGroup(identity.member()).entries();
    FolderInitializer.create(new DataFolder(files, path), identity, initialEntries);
  }

  /**
   * Creates the folder of one of the initial members of a new group. Each of them must be given the
   * same set of initial members, which includes itself.
   *
   * @param files the file system
   * @param path the folder; may exist if it is empty
   * @param identity the group and this initial member
   * @param initialMembers the initial voters of the group
   * @throws FolderExistsException if the folder already holds member state
   * @throws CorruptFolderException if it holds member files but no identity file
   */
  public static void createInitialMember(
      FileSystemAccess files, Path path, FolderIdentity identity, Membership initialMembers) {
    List<LogEntry> initialEntries = RecoveredState.newGroup(initialMembers).entries();
    FolderInitializer.create(new DataFolder(files, path), identity, initialEntries);
  }

  /**
   * Creates the folder of a new member that joins an existing group.
   *
   * @param files the file system
   * @param path the folder; may exist if it is empty
   * @param identity the group and the new member
   * @throws FolderExistsException if the folder already holds member state
   * @throws CorruptFolderException if it holds member files but no identity file
   */
  public static void createMember(FileSystemAccess files, Path path, FolderIdentity identity) {
    FolderInitializer.create(new DataFolder(files, path), identity, List.of());
  }

  /**
   * Opens a folder with segments of the default size.
   *
   * @param files the file system
   * @param path the folder
   * @param group the group that the folder must belong to
   * @return the open folder
   * @throws FolderMissingException if it holds no member state
   * @throws FolderOwnerMismatchException if it belongs to another group
   * @throws FolderInUseException if it is open already
   * @throws CorruptFolderException if synced data is missing or can't be read
   */
  public static ReplicaStorage open(FileSystemAccess files, Path path, GroupId group) {
    return open(files, path, group, DEFAULT_SEGMENT_BYTES);
  }

  /**
   * Opens a folder with a given segment size, see {@link #open(FileSystemAccess, Path, GroupId)}.
   *
   * @param files the file system
   * @param path the folder
   * @param group the group that the folder must belong to
   * @param segmentBytes size at which the log rolls to a new segment, in bytes
   * @return the open folder
   */
  public static ReplicaStorage open(
      FileSystemAccess files, Path path, GroupId group, long segmentBytes) {
    return new ReplicaStorage(new DataFolder(files, path), group, segmentBytes);
  }

  /**
   * Returns the group and member that this state belongs to.
   *
   * @return the identity
   */
  public FolderIdentity identity() {
    return identity;
  }

  /**
   * Returns the state that was read when the folder was opened, and no longer holds it: it may be a
   * large part of the memory, and the caller drops entries as time goes on.
   *
   * @return vote, snapshot and log
   * @throws IllegalStateException if it was taken before
   */
  public RecoveredState takeRecoveredState() {
    if (recoveredState == null) {
      throw new IllegalStateException("the recovered state was taken before");
    }
    RecoveredState taken = recoveredState;
    recoveredState = null;
    return taken;
  }

  /**
   * Applies a write. It is not guaranteed to survive a power loss before the next {@link #sync}.
   *
   * @param write the write
   * @throws DiskFullException if the disk is full
   * @throws StorageFailedException if an earlier write failed
   */
  public void write(ReplicaAction.Write write) {
    runUnlessFailed(() -> applyWrite(write));
    lastWriteNumber = write.writeNumber();
  }

  /**
   * Makes all writes so far durable with one sync (group commit).
   *
   * @return number of the last write, for {@link
   *     org.teaseltrail.core.replication.ReplicaEvent.Persisted}
   * @throws DiskFullException if the disk is full
   * @throws StorageFailedException if an earlier write failed
   */
  public long sync() {
    runUnlessFailed(log::sync);
    return lastWriteNumber;
  }

  @Override
  public void close() {
    log.close();
    DataFolder.closeQuietly(lock);
  }

  private void applyWrite(ReplicaAction.Write write) {
    if (write instanceof ReplicaAction.AppendToLog append) {
      log.append(append.entries());
    } else if (write instanceof ReplicaAction.TruncateLog truncate) {
      log.truncateFrom(truncate.fromIndex());
    } else if (write instanceof ReplicaAction.SaveVote saved) {
      log.sync();
      voteFile.save(FolderInitializer.VOTE_NAME, saved.vote());
    } else if (write instanceof ReplicaAction.SaveSnapshot saved) {
      log.sync();
      saveSnapshot(saved);
    }
  }

  private void saveSnapshot(ReplicaAction.SaveSnapshot saved) {
    snapshots.save(saved.snapshot());
    if (saved.discardsLog()) {
      log.deleteAllSegments();
    } else {
      log.deleteSegmentsThrough(saved.retainAfterIndex());
    }
  }

  private void runUnlessFailed(Runnable operation) {
    if (failure != null) {
      throw new StorageFailedException(folder.path(), failure);
    }
    try {
      operation.run();
    } catch (StorageException e) {
      failure = e;
      throw e;
    }
  }

  private RecoveredState recover() {
    FolderInitializer.deleteTemporaryFiles(folder);
    Vote vote = voteFile.load(FolderInitializer.VOTE_NAME);
    Optional<Snapshot> snapshot = snapshots.load();
    return new RecoveredState(vote, snapshot, log.recover(snapshot));
  }
}
