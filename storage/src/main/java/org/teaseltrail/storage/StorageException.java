package org.teaseltrail.storage;

import java.nio.file.Path;

/** Base class of data folder errors. Writes that were reported as synced are still stored. */
public abstract sealed class StorageException extends RuntimeException
    permits CorruptFolderException,
        DiskFullException,
        FolderExistsException,
        StorageFailedException,
        FolderInUseException,
        FolderMissingException,
        FolderOwnerMismatchException,
        StorageIoException {

  private static final long serialVersionUID = 1L;

  private final transient Path path;

  /** Creates the exception for a file or folder with a reason and a cause, which may be null. */
  protected StorageException(Path path, String reason, Throwable cause) {
    super(path + ": " + reason, cause);
    this.path = path;
  }

  /**
   * Returns the file or folder that the error concerns.
   *
   * @return its path
   */
  public Path path() {
    return path;
  }
}
