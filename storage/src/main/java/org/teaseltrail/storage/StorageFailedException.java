package org.teaseltrail.storage;

import java.nio.file.Path;

/** Thrown for writes after a failed one; the folder must be reopened before it accepts more. */
public final class StorageFailedException extends StorageException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public StorageFailedException(Path path, Throwable first) {
    super(path, "rejects writes because an earlier one failed", first);
  }
}
