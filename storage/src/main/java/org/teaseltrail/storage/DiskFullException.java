package org.teaseltrail.storage;

import java.nio.file.Path;

/** Tells that there is no room for a write; nothing synced before is touched. */
public final class DiskFullException extends StorageException {

  private static final long serialVersionUID = 1L;

  /** Creates the failure. */
  public DiskFullException(Path path, Throwable cause) {
    super(path, "no room left", cause);
  }
}
