package org.teaseltrail.storage;

import java.nio.file.Path;

/** Thrown when a file operation fails with an I/O error other than lack of space. */
public final class StorageIoException extends StorageException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public StorageIoException(Path path, Throwable cause) {
    super(path, "file operation failed", cause);
  }
}
