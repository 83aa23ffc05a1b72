package org.teaseltrail.storage;

import java.util.List;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.Vote;

/**
 * Creates data folders and verifies which group they belong to.
 *
 * <p>The identity file is written last: without it, the creation never finished and nothing in the
 * folder was ever acknowledged. A marker file that exists from the first to the last step
 * distinguishes such a folder from one whose identity file was lost.
 */
final class FolderInitializer {

  static final String VOTE_NAME = "vote";

  private static final String IDENTITY_FILE = "identity";
  private static final String UNFINISHED_MARKER = "unfinished";
  private static final String LOCK_NAME = "lock";

  private FolderInitializer() {}

  static void create(DataFolder folder, FolderIdentity identity, List<LogEntry> entries) {
    folder.create();
    deleteUnfinishedFiles(folder);
    folder.replace(UNFINISHED_MARKER, new byte[0]);
    new ChecksummedFile<>(folder, new VoteCodec()).save(VOTE_NAME, Vote.none());
    try (SegmentedLog log = new SegmentedLog(folder, Long.MAX_VALUE)) {
      log.append(entries);
      log.sync();
    }
    new ChecksummedFile<>(folder, new IdentityCodec()).save(IDENTITY_FILE, identity);
    folder.delete(UNFINISHED_MARKER);
    folder.sync();
  }

  static FolderIdentity loadIdentity(DataFolder folder, GroupId group) {
    if (!folder.contains(IDENTITY_FILE)) {
      throw new FolderMissingException(folder.path());
    }
    FolderIdentity identity =
        new ChecksummedFile<>(folder, new IdentityCodec()).load(IDENTITY_FILE);
    if (!identity.group().equals(group)) {
      throw new FolderOwnerMismatchException(folder.path(), group, identity.group());
    }
    return identity;
  }

  /** Deletes temporary and marker files that a crash left behind. */
  static void deleteTemporaryFiles(DataFolder folder) {
    for (String name : folder.list()) {
      boolean temporary =
          name.endsWith(DataFolder.TEMPORARY_SUFFIX) || name.equals(UNFINISHED_MARKER);
      if (temporary) {
        folder.delete(name);
      }
    }
  }

  private static void deleteUnfinishedFiles(DataFolder folder) {
    List<String> names = folder.list();
    if (names.contains(IDENTITY_FILE)) {
      throw new FolderExistsException(folder.path());
    }
    boolean unfinished = names.contains(UNFINISHED_MARKER);
    for (String name : names) {
      boolean removable =
          name.equals(LOCK_NAME)
              || name.equals(UNFINISHED_MARKER)
              || name.endsWith(DataFolder.TEMPORARY_SUFFIX);
      if (!removable && !unfinished) {
        throw new CorruptFolderException(folder.path(name), "found without an identity file");
      }
      if (!name.equals(LOCK_NAME) && !name.equals(UNFINISHED_MARKER)) {
        folder.delete(name);
      }
    }
  }
}
