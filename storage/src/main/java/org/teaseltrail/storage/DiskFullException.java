package org.teaseltrail.storage;

import java.nio.file.Path;

/** Thrown when the disk or quota has no space for a write. Data synced before remains intact. */
public final class DiskFullException extends StorageException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public DiskFullException(Path path, Throwable cause) {
    super(path, "no space left on disk or in quota", cause);
  }
}
