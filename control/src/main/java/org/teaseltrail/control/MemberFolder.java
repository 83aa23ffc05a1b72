package org.teaseltrail.control;

import java.security.SecureRandom;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.storage.FileSystemAccess;
import org.teaseltrail.storage.FolderIdentity;
import org.teaseltrail.storage.ForeignFolderException;
import org.teaseltrail.storage.NioFileSystem;
import org.teaseltrail.storage.StorageFolder;

/** Opens a member's data folder, and makes it first if the operator says so. */
final class MemberFolder {

  private MemberFolder() {}

  /**
   * Opens the folder.
   *
   * @throws org.teaseltrail.storage.StorageException if the folder can't be used, holds no member
   *     where one is expected, or holds one where none is
   */
  static StorageFolder open(ControlOptions options, StartMode mode) {
    FileSystemAccess files = new NioFileSystem();
    if (mode == StartMode.NEW_GROUP) {
      StorageFolder.createGroup(files, options.data(), identity(options));
    } else if (mode == StartMode.JOIN) {
      StorageFolder.createMember(files, options.data(), identity(options));
    }
    return checked(StorageFolder.open(files, options.data(), options.group()), options);
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
    long number = new SecureRandom().nextLong(Integer.MAX_VALUE);
    return FolderIdentity.fresh(options.group(), options.vm(), new Incarnation(number));
  }
}
