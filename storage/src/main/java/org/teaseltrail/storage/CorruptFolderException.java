package org.teaseltrail.storage;

import java.nio.file.Path;

/** Thrown when synced data is missing or corrupt; an operator must inspect the folder. */
public final class CorruptFolderException extends StorageException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public CorruptFolderException(Path path, String reason) {
    super(path, "damaged: " + reason, null);
  }
}
