package org.teaseltrail.storage;

import java.nio.file.Path;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.GroupId;

/** Thrown when a folder belongs to another group or to a member on another VM. */
public final class FolderOwnerMismatchException extends StorageException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception for a folder of another group. */
  public FolderOwnerMismatchException(Path path, GroupId expected, GroupId found) {
    super(path, "belongs to group " + found + ", not " + expected, null);
  }

  /** Creates the exception for a folder of a member on another VM. */
  public FolderOwnerMismatchException(Path path, VmId expected, VmId found) {
    super(path, "belongs to the member on VM " + found + ", not " + expected, null);
  }
}
