package org.teaseltrail.storage;

import java.nio.file.Path;

/** Tells that the operating system failed a file operation. */
public final class StorageIoException extends StorageException {

  private static final long serialVersionUID = 1L;

  /** Creates the failure. */
  public StorageIoException(Path path, Throwable cause) {
    super(path, "operation failed", cause);
  }
}
