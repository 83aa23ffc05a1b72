package org.teaseltrail.storage;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;

/** Is the files of one folder, with a typed failure for each way in which one can fail. */
final class DataFolder {

  static final String TEMPORARY_SUFFIX = ".tmp";

  private static final System.Logger LOGGER = System.getLogger(DataFolder.class.getName());
  private static final String NO_SPACE = "No space left on device";
  private static final String NO_QUOTA = "Disk quota exceeded";

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
      throw typed(path, e);
    }
  }

  boolean has(String name) {
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
   * Replaces a file in one step, synced.
   *
   * <p>A loss of power in the middle of a write would leave neither the old content nor the new. So
   * the new content is synced under another name before it takes the old one's place, and the
   * folder is synced before anyone is told.
   */
  void replace(String name, byte[] content) {
    String temporary = name + TEMPORARY_SUFFIX;
    step(
        path(name),
        () -> {
          try (AppendFile file = files.openAppend(path(temporary))) {
            file.truncate(0);
            file.append(content);
            file.sync();
          }
          files.rename(path(temporary), path(name));
          files.syncFolder(path);
        });
  }

  /** Runs a step and gives its failure the type that says what to do about it. */
  static <T> T run(Path path, FileOperation<T> operation) {
    try {
      return operation.run();
    } catch (IOException e) {
      throw typed(path, e);
    }
  }

  /** Runs a step without a result, see {@link #run}. */
  static void step(Path path, FileStep step) {
    run(
        path,
        () -> {
          step.run();
          return null;
        });
  }

  /** Gives a lock back; a failure of that changes nothing, as the lock ends with the process. */
  static void closeQuietly(AutoCloseable lock) {
    try {
      lock.close();
    } catch (Exception e) {
      LOGGER.log(System.Logger.Level.WARNING, "[replica] Lock of the data folder not closed.", e);
    }
  }

  private static StorageException typed(Path path, IOException failure) {
    String message = String.valueOf(failure.getMessage());
    boolean full = message.contains(NO_SPACE) || message.contains(NO_QUOTA);
    return full ? new DiskFullException(path, failure) : new StorageIoException(path, failure);
  }
}
