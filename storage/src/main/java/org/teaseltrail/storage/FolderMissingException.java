package org.teaseltrail.storage;

import java.nio.file.Path;

/** Tells that no member's state lies in a folder; a group is never started by itself. */
public final class FolderMissingException extends StorageException {

  private static final long serialVersionUID = 1L;

  /** Creates the failure. */
  public FolderMissingException(Path path) {
    super(path, "holds no member", null);
  }
}
