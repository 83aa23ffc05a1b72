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
 * Keeps one control member's state in one folder.
 *
 * <p>Writes are taken in their order and outlive a loss of power in their order; {@link #sync}
 * tells up to which one they do. After a failed write the folder takes no more: what a failed sync
 * has lost can't be known, so only reading the folder anew tells what is there.
 *
 * <p>Not safe for use by several threads at once.
 *
 * <p>Example:
 *
 * <pre>{@code
 * StorageFolder.createGroup(files, path, identity);
 * try (StorageFolder folder = StorageFolder.open(files, path, group)) {
 *   folder.write(write);
 *   replica.handle(new ReplicaEvent.Persisted(folder.sync()), System.nanoTime());
 * }
 * }</pre>
 */
public final class StorageFolder implements AutoCloseable {

  /** Size at which a new log segment is begun, in bytes. */
  public static final long DEFAULT_SEGMENT_BYTES = 8L * 1024 * 1024;

  private static final String LOCK_NAME = "lock";

  private final DataFolder folder;
  private final AutoCloseable lock;
  private final FolderIdentity identity;
  private final RecoveredState recovered;
  private final CheckedFile<Vote> votes;
  private final SnapshotStore snapshots;
  private final SegmentedLog log;
  private StorageException failure;
  private long newestWriteNumber;

  private StorageFolder(DataFolder folder, GroupId group, long segmentBytes) {
    this.folder = folder;
    this.identity = FolderSetup.identityOf(folder, group);
    this.lock = folder.lock(LOCK_NAME);
    this.votes = new CheckedFile<>(folder, new VoteCodec());
    this.snapshots = new SnapshotStore(folder);
    this.log = new SegmentedLog(folder, segmentBytes);
    try {
      this.recovered = recover();
    } catch (RuntimeException e) {
      close();
      throw e;
    }
  }

  /**
   * Makes the folder of the only member of a new group. This is the explicit command that starts a
   * group; nothing does so by itself.
   *
   * @param files the file system
   * @param path the folder; may be there, but empty
   * @param identity the group and its first member
   * @throws FolderExistsException if a member's state lies there
   * @throws DamagedFolderException if files of a member lie there without its identity
   */
  public static void createGroup(FileSystemAccess files, Path path, FolderIdentity identity) {
    List<LogEntry> first = RecoveredState.newGroup(identity.member()).entries();
    FolderSetup.create(new DataFolder(files, path), identity, first);
  }

  /**
   * Makes the folder of one of the founders of a new group. Each founder must be given the same set
   * of founders, itself among them.
   *
   * @param files the file system
   * @param path the folder; may be there, but empty
   * @param identity the group and the founder
   * @param founders the members that vote from the start
   * @throws FolderExistsException if a member's state lies there
   * @throws DamagedFolderException if files of a member lie there without its identity
   */
  public static void createFounder(
      FileSystemAccess files, Path path, FolderIdentity identity, Membership founders) {
    List<LogEntry> first = RecoveredState.newGroup(founders).entries();
    FolderSetup.create(new DataFolder(files, path), identity, first);
  }

  /**
   * Makes the folder of a new member that is to join a group.
   *
   * @param files the file system
   * @param path the folder; may be there, but empty
   * @param identity the group and the new member
   * @throws FolderExistsException if a member's state lies there
   * @throws DamagedFolderException if files of a member lie there without its identity
   */
  public static void createMember(FileSystemAccess files, Path path, FolderIdentity identity) {
    FolderSetup.create(new DataFolder(files, path), identity, List.of());
  }

  /**
   * Opens a folder with segments of the default size.
   *
   * @param files the file system
   * @param path the folder
   * @param group the group it must belong to
   * @return the open folder
   * @throws FolderMissingException if it holds no member's state
   * @throws ForeignFolderException if it belongs to another group
   * @throws FolderInUseException if it is open already
   * @throws DamagedFolderException if something that was synced is missing or can't be read
   */
  public static StorageFolder open(FileSystemAccess files, Path path, GroupId group) {
    return open(files, path, group, DEFAULT_SEGMENT_BYTES);
  }

  /**
   * Opens a folder, see {@link #open(FileSystemAccess, Path, GroupId)}.
   *
   * @param files the file system
   * @param path the folder
   * @param group the group it must belong to
   * @param segmentBytes size at which a new log segment is begun, in bytes
   * @return the open folder
   */
  public static StorageFolder open(
      FileSystemAccess files, Path path, GroupId group, long segmentBytes) {
    return new StorageFolder(new DataFolder(files, path), group, segmentBytes);
  }

  /**
   * Returns whose state this is.
   *
   * @return the identity
   */
  public FolderIdentity identity() {
    return identity;
  }

  /**
   * Returns what the folder held when it was opened.
   *
   * @return vote, snapshot and log
   */
  public RecoveredState recovered() {
    return recovered;
  }

  /**
   * Takes a write; it may not outlive a loss of power before the next {@link #sync}.
   *
   * @param write the write
   * @throws DiskFullException if there is no room
   * @throws FolderFailedException if an earlier write failed
   */
  public void write(ReplicaAction.Write write) {
    guarded(() -> carryOut(write));
    newestWriteNumber = write.writeNumber();
  }

  /**
   * Syncs all writes taken so far, at the cost of one sync for many.
   *
   * @return number of the newest write, for {@link
   *     org.teaseltrail.core.replication.ReplicaEvent.Persisted}
   * @throws DiskFullException if there is no room
   * @throws FolderFailedException if an earlier write failed
   */
  public long sync() {
    guarded(log::sync);
    return newestWriteNumber;
  }

  @Override
  public void close() {
    log.close();
    DataFolder.closeQuietly(lock);
  }

  private void carryOut(ReplicaAction.Write write) {
    if (write instanceof ReplicaAction.AppendToLog append) {
      log.append(append.entries());
    } else if (write instanceof ReplicaAction.TruncateLog truncate) {
      log.truncateFrom(truncate.fromIndex());
    } else if (write instanceof ReplicaAction.SaveVote saved) {
      log.sync();
      votes.save(FolderSetup.VOTE_NAME, saved.vote());
    } else if (write instanceof ReplicaAction.SaveSnapshot saved) {
      log.sync();
      saveSnapshot(saved);
    }
  }

  private void saveSnapshot(ReplicaAction.SaveSnapshot saved) {
    snapshots.save(saved.snapshot());
    if (saved.discardsLog()) {
      log.discard();
    } else {
      log.dropThrough(saved.retainAfterIndex());
    }
  }

  private void guarded(Runnable operation) {
    if (failure != null) {
      throw new FolderFailedException(folder.path(), failure);
    }
    try {
      operation.run();
    } catch (StorageException e) {
      failure = e;
      throw e;
    }
  }

  private RecoveredState recover() {
    FolderSetup.removeLeftovers(folder);
    Vote vote = votes.load(FolderSetup.VOTE_NAME);
    Optional<Snapshot> snapshot = snapshots.load();
    return new RecoveredState(vote, snapshot, log.recover(snapshot));
  }
}
