package org.teaseltrail.storage;

import java.util.List;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.Vote;

/**
 * Makes data folders and checks whose they are.
 *
 * <p>The identity is written last: a folder without one was never finished, so nobody has been told
 * of anything in it. A mark that is there from the first to the last step tells such a folder from
 * one whose identity has got lost.
 */
final class FolderSetup {

  static final String VOTE_NAME = "vote";

  private static final String IDENTITY_NAME = "identity";
  private static final String UNFINISHED_NAME = "unfinished";
  private static final String LOCK_NAME = "lock";

  private FolderSetup() {}

  static void create(DataFolder folder, FolderIdentity identity, List<LogEntry> entries) {
    folder.create();
    clear(folder);
    folder.replace(UNFINISHED_NAME, new byte[0]);
    new CheckedFile<>(folder, new VoteCodec()).save(VOTE_NAME, Vote.none());
    try (SegmentedLog log = new SegmentedLog(folder, Long.MAX_VALUE)) {
      log.append(entries);
      log.sync();
    }
    new CheckedFile<>(folder, new IdentityCodec()).save(IDENTITY_NAME, identity);
    folder.delete(UNFINISHED_NAME);
    folder.sync();
  }

  static FolderIdentity identityOf(DataFolder folder, GroupId group) {
    if (!folder.has(IDENTITY_NAME)) {
      throw new FolderMissingException(folder.path());
    }
    FolderIdentity identity = new CheckedFile<>(folder, new IdentityCodec()).load(IDENTITY_NAME);
    if (!identity.group().equals(group)) {
      throw new ForeignFolderException(folder.path(), group, identity.group());
    }
    return identity;
  }

  /** Deletes what a crash left of unfinished steps. */
  static void removeLeftovers(DataFolder folder) {
    for (String name : folder.list()) {
      boolean leftover = name.endsWith(DataFolder.TEMPORARY_SUFFIX) || name.equals(UNFINISHED_NAME);
      if (leftover) {
        folder.delete(name);
      }
    }
  }

  private static void clear(DataFolder folder) {
    List<String> names = folder.list();
    if (names.contains(IDENTITY_NAME)) {
      throw new FolderExistsException(folder.path());
    }
    boolean unfinished = names.contains(UNFINISHED_NAME);
    for (String name : names) {
      boolean harmless =
          name.equals(LOCK_NAME)
              || name.equals(UNFINISHED_NAME)
              || name.endsWith(DataFolder.TEMPORARY_SUFFIX);
      if (!harmless && !unfinished) {
        throw new DamagedFolderException(folder.path(name), "no identity beside it");
      }
      if (!name.equals(LOCK_NAME) && !name.equals(UNFINISHED_NAME)) {
        folder.delete(name);
      }
    }
  }
}
