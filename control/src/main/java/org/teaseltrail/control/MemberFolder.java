package org.teaseltrail.control;

import java.security.SecureRandom;
import java.util.List;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.storage.FileSystemAccess;
import org.teaseltrail.storage.FolderExistsException;
import org.teaseltrail.storage.FolderIdentity;
import org.teaseltrail.storage.ForeignFolderException;
import org.teaseltrail.storage.NioFileSystem;
import org.teaseltrail.storage.StorageFolder;

/** Opens a member's data folder, and makes it first if the operator says so. */
final class MemberFolder {

  private static final System.Logger LOGGER = System.getLogger(MemberFolder.class.getName());

  /** Incarnation of a group's founders, known to all of them; drawn ones begin at 1. */
  private static final Incarnation FOUNDER = new Incarnation(0);

  private MemberFolder() {}

  /**
   * Opens the folder.
   *
   * @throws org.teaseltrail.storage.StorageException if the folder can't be used, holds no member
   *     where one is expected, or holds one where none is
   */
  static StorageFolder open(ControlOptions options, StartMode mode) {
    FileSystemAccess files = new NioFileSystem();
    if (options.formation().isPresent()) {
      form(files, options, options.formation().get());
      return checked(StorageFolder.open(files, options.data(), options.group()), options);
    }
    if (mode == StartMode.NEW_GROUP) {
      StorageFolder.createGroup(files, options.data(), identity(options));
    } else if (mode == StartMode.JOIN) {
      StorageFolder.createMember(files, options.data(), identity(options));
    }
    return checked(StorageFolder.open(files, options.data(), options.group()), options);
  }

  /**
   * Makes the folder of a group that forms itself, unless there is one.
   *
   * <p>Guards against two groups: an empty disk founds a group only at the first start of the whole
   * system, and only on the VMs that all settings list then; these begin with the same first entry,
   * so they are one group. Any other empty disk waits to be taken in.
   */
  private static void form(
      FileSystemAccess files, ControlOptions options, FormationOptions formation) {
    try {
      if (formation.firstStart() && formation.seeds().contains(options.vm())) {
        Membership founders =
            new Membership(
                formation.seeds().stream().map(vm -> founder(options, vm).member()).toList(),
                List.of());
        StorageFolder.createFounder(
            files, options.data(), founder(options, options.vm()), founders);
      } else {
        StorageFolder.createMember(files, options.data(), identity(options));
      }
    } catch (FolderExistsException e) {
      LOGGER.log(System.Logger.Level.DEBUG, "[replica] Goes on with the folder it has.");
    }
  }

  private static FolderIdentity founder(ControlOptions options, VmId vm) {
    return FolderIdentity.fresh(options.group(), vm, FOUNDER);
  }

  /**
   * Checks that the folder is this VM's own. Guards against a folder copied to another VM: both
   * processes would speak as one member, sync apart and count as one vote each time. The identity
   * on the disk names the VM that it was made for.
   */
  private static StorageFolder checked(StorageFolder folder, ControlOptions options) {
    VmId found = folder.identity().member().vm();
    if (!found.equals(options.vm())) {
      folder.close();
      throw new ForeignFolderException(options.data(), options.vm(), found);
    }
    return folder;
  }

  /**
   * Draws an incarnation. Guards against a member whose disk was lost: under its old id it would be
   * counted for syncs and votes that it has forgotten. A folder made anew is another member.
   */
  private static FolderIdentity identity(ControlOptions options) {
    long number = 1 + new SecureRandom().nextLong(Integer.MAX_VALUE);
    return FolderIdentity.fresh(options.group(), options.vm(), new Incarnation(number));
  }
}
