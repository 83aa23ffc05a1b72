package org.teaseltrail.storage;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;

/** File operations on one data folder; translates I/O errors into {@link StorageException}s. */
final class DataFolder {

  static final String TEMPORARY_SUFFIX = ".tmp";

  private static final System.Logger LOGGER = System.getLogger(DataFolder.class.getName());
  private static final String NO_SPACE_MESSAGE = "No space left on device";
  private static final String QUOTA_EXCEEDED_MESSAGE = "Disk quota exceeded";

  private final FileSystemAccess files;
  private final Path path;

  DataFolder(FileSystemAccess files, Path path) {
    this.files = files;
    this.path = path;
  }

  Path path() {
    return path;
  }

  Path path(String name) {
    return path.resolve(name);
  }

  void create() {
    step(
        path,
        () -> {
          files.createFolder(path);
        });
  }

  List<String> list() {
    try {
      return files.list(path);
    } catch (NoSuchFileException e) {
      throw new FolderMissingException(path);
    } catch (IOException e) {
      throw toStorageException(path, e);
    }
  }

  boolean contains(String name) {
    return list().contains(name);
  }

  byte[] read(String name) {
    return run(path(name), () -> files.read(path(name)));
  }

  AppendFile openAppend(String name) {
    return run(path(name), () -> files.openAppend(path(name)));
  }

  void delete(String name) {
    step(
        path(name),
        () -> {
          files.delete(path(name));
        });
  }

  void sync() {
    step(
        path,
        () -> {
          files.syncFolder(path);
        });
  }

  AutoCloseable lock(String name) {
    return run(path(name), () -> files.lock(path(name)));
  }

  /**
   * Atomically replaces a file by the given parts, in their order, and syncs it.
   *
   * <p>A power loss during an in-place write would leave neither the old nor the new content.
   * Therefore the new content is written to a temporary file and synced, the temporary file is
   * renamed over the old one, and the folder is synced before this method returns.
   */
  void replace(String name, byte[]... parts) {
    String temporary = name + TEMPORARY_SUFFIX;
    step(
        path(name),
        () -> {
          try (AppendFile file = files.openAppend(path(temporary))) {
            file.truncate(0);
            for (byte[] part : parts) {
              file.append(part);
            }
            file.sync();
          }
          files.rename(path(temporary), path(name));
          files.syncFolder(path);
        });
  }

  /** Runs an operation and translates an I/O error into the matching storage exception. */
  static <T> T run(Path path, FileOperation<T> operation) {
    try {
      return operation.run();
    } catch (IOException e) {
      throw toStorageException(path, e);
    }
  }

  /** Runs an operation without a result, see {@link #run}. */
  static void step(Path path, FileAction step) {
    run(
        path,
        () -> {
          step.run();
          return null;
        });
  }

  /** Closes a file or lock, without which the folder can be used; a failure is only logged. */
  static void closeQuietly(AutoCloseable file) {
    try {
      file.close();
    } catch (Exception e) {
      LOGGER.log(
          System.Logger.Level.WARNING, "[replica] failed to close a file of the data folder", e);
    }
  }

  private static StorageException toStorageException(Path path, IOException failure) {
    String message = String.valueOf(failure.getMessage());
    boolean full = message.contains(NO_SPACE_MESSAGE) || message.contains(QUOTA_EXCEEDED_MESSAGE);
    return full ? new DiskFullException(path, failure) : new StorageIoException(path, failure);
  }
}
