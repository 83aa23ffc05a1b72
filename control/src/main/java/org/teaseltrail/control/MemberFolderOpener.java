package org.teaseltrail.control;

import java.security.SecureRandom;
import java.util.List;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.storage.FileSystemAccess;
import org.teaseltrail.storage.FolderExistsException;
import org.teaseltrail.storage.FolderIdentity;
import org.teaseltrail.storage.FolderOwnerMismatchException;
import org.teaseltrail.storage.NioFileSystem;
import org.teaseltrail.storage.ReplicaStorage;

/** Opens the data folder of a member, and creates it first if requested. */
final class MemberFolderOpener {

  private static final System.Logger LOGGER = System.getLogger(MemberFolderOpener.class.getName());

  /**
   * Incarnation of a group's initial members, which all of them must know in advance; random ones
   * start at 1.
   */
  private static final Incarnation FOUNDER_INCARNATION = new Incarnation(0);

  private MemberFolderOpener() {}

  /**
   * Opens the data folder.
   *
   * @throws org.teaseltrail.storage.StorageException if the folder can't be used, holds no member
   *     although one is expected, or holds one although none is expected
   */
  static ReplicaStorage open(ControlOptions options, StartMode mode) {
    FileSystemAccess files = new NioFileSystem();
    if (options.bootstrap().isPresent()) {
      createFolderIfAbsent(files, options, options.bootstrap().get());
      return requireOwnFolder(ReplicaStorage.open(files, options.data(), options.group()), options);
    }
    if (mode == StartMode.NEW_GROUP) {
      ReplicaStorage.createGroup(files, options.data(), identity(options));
    } else if (mode == StartMode.JOIN) {
      ReplicaStorage.createMember(files, options.data(), identity(options));
    }
    return requireOwnFolder(ReplicaStorage.open(files, options.data(), options.group()), options);
  }

  /**
   * Creates the data folder for a group that bootstraps itself, unless it exists.
   *
   * <p>Prevents the bootstrap of two separate groups: a member with an empty disk creates the group
   * only at the first start of the whole system, and only on the VMs that are seeds in all settings
   * at that time. These start with the same first log entry, so they form a single group. Any other
   * member with an empty disk waits until the group adds it.
   */
  private static void createFolderIfAbsent(
      FileSystemAccess files, ControlOptions options, GroupBootstrapOptions bootstrap) {
    try {
      if (bootstrap.firstStart() && bootstrap.seeds().contains(options.vm())) {
        Membership founders =
            new Membership(
                bootstrap.seeds().stream().map(vm -> founder(options, vm).member()).toList(),
                List.of());
        ReplicaStorage.createInitialMember(
            files, options.data(), founder(options, options.vm()), founders);
      } else {
        ReplicaStorage.createMember(files, options.data(), identity(options));
      }
    } catch (FolderExistsException e) {
      LOGGER.log(System.Logger.Level.DEBUG, "[replica] Using the existing data folder.");
    }
  }

  private static FolderIdentity founder(ControlOptions options, VmId vm) {
    return FolderIdentity.create(options.group(), vm, FOUNDER_INCARNATION);
  }

  /**
   * Checks that the folder was created for this VM; the stored identity names the VM. Guards
   * against a folder that is copied to another VM: two processes would act as one member, each
   * would sync to its own disk, and each would be counted as that member's vote.
   */
  private static ReplicaStorage requireOwnFolder(ReplicaStorage folder, ControlOptions options) {
    VmId found = folder.identity().member().vm();
    if (!found.equals(options.vm())) {
      folder.close();
      throw new FolderOwnerMismatchException(options.data(), options.vm(), found);
    }
    return folder;
  }

  /**
   * Creates an identity with a random incarnation. Guards against a member that has lost its disk:
   * under its old id the group would rely on synced entries and votes that are no longer stored. A
   * newly created folder therefore belongs to a new member.
   */
  private static FolderIdentity identity(ControlOptions options) {
    long number = 1 + new SecureRandom().nextLong(Integer.MAX_VALUE);
    return FolderIdentity.create(options.group(), options.vm(), new Incarnation(number));
  }
}
