package org.teaseltrail.storage;

import java.nio.file.Path;

/** Tells that another process, or another part of this one, has the folder open. */
public final class FolderInUseException extends StorageException {

  private static final long serialVersionUID = 1L;

  /** Creates the failure. */
  public FolderInUseException(Path path) {
    super(path, "is in use", null);
  }
}
