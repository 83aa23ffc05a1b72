package org.teaseltrail.storage;

import java.nio.file.Path;

/** Tells that a folder takes no more writes, as an earlier one failed; it may be opened anew. */
public final class FolderFailedException extends StorageException {

  private static final long serialVersionUID = 1L;

  /** Creates the failure. */
  public FolderFailedException(Path path, Throwable first) {
    super(path, "an earlier write failed", first);
  }
}
