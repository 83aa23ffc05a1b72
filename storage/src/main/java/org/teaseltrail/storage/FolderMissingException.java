package org.teaseltrail.storage;

import java.nio.file.Path;

/** Thrown when a folder holds no member state, as a group is never created implicitly. */
public final class FolderMissingException extends StorageException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public FolderMissingException(Path path) {
    super(path, "holds no member", null);
  }
}
