package org.teaseltrail.storage;

import java.nio.file.Path;

/** Tells that a file holds something else than what was synced to it; a person must look at it. */
public final class DamagedFolderException extends StorageException {

  private static final long serialVersionUID = 1L;

  /** Creates the failure. */
  public DamagedFolderException(Path path, String reason) {
    super(path, "damaged: " + reason, null);
  }
}
