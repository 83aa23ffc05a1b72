package org.teaseltrail.storage;

import java.nio.file.Path;

/** Tells that a data folder can't be used. What it reported as synced is still there. */
public abstract sealed class StorageException extends RuntimeException
    permits DamagedFolderException,
        DiskFullException,
        FolderExistsException,
        FolderFailedException,
        FolderInUseException,
        FolderMissingException,
        ForeignFolderException,
        StorageIoException {

  private static final long serialVersionUID = 1L;

  private final transient Path path;

  /** Creates the failure for a file or folder, the reason and the cause, which may be null. */
  protected StorageException(Path path, String reason, Throwable cause) {
    super(path + ": " + reason, cause);
    this.path = path;
  }

  /**
   * Returns which file or folder the failure is about.
   *
   * @return its path
   */
  public Path path() {
    return path;
  }
}
