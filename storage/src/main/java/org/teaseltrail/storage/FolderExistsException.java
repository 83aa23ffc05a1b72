package org.teaseltrail.storage;

import java.nio.file.Path;

/** Tells that a folder can't be created, as a member's state lies there. */
public final class FolderExistsException extends StorageException {

  private static final long serialVersionUID = 1L;

  /** Creates the failure. */
  public FolderExistsException(Path path) {
    super(path, "holds a member already", null);
  }
}
