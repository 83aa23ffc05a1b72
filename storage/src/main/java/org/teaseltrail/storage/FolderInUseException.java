package org.teaseltrail.storage;

import java.nio.file.Path;

/** Thrown when the folder is already open in another process or elsewhere in this one. */
public final class FolderInUseException extends StorageException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public FolderInUseException(Path path) {
    super(path, "is in use", null);
  }
}
