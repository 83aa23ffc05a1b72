package org.teaseltrail.storage;

import java.nio.file.Path;

/** Thrown when a folder can't be created because it already holds member state. */
public final class FolderExistsException extends StorageException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public FolderExistsException(Path path) {
    super(path, "holds a member already", null);
  }
}
