package org.teaseltrail.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * The file system operations that the data folder uses. Tests replace them by a fake that loses
 * unsynced data on a simulated power loss.
 */
public interface FileSystemAccess {

  /**
   * Creates a folder and its missing parents.
   *
   * @param folder the folder
   * @throws IOException if it can't be created
   */
  void createFolder(Path folder) throws IOException;

  /**
   * Lists the files in a folder.
   *
   * @param folder the folder
   * @return the file names, sorted
   * @throws IOException if it can't be read
   */
  List<String> list(Path folder) throws IOException;

  /**
   * Reads a file.
   *
   * @param file the file
   * @return its content
   * @throws IOException if it can't be read
   */
  byte[] read(Path file) throws IOException;

  /**
   * Opens a file for appending and creates it if it is missing.
   *
   * @param file the file
   * @return the open file
   * @throws IOException if it can't be opened
   */
  AppendFile openAppend(Path file) throws IOException;

  /**
   * Atomically renames a file, replacing an existing file of the new name.
   *
   * @param from the old name
   * @param to the new name, in the same folder
   * @throws IOException if it can't be renamed
   */
  void rename(Path from, Path to) throws IOException;

  /**
   * Deletes a file.
   *
   * @param file the file
   * @throws IOException if it can't be deleted
   */
  void delete(Path file) throws IOException;

  /**
   * Syncs the directory entries of a folder.
   *
   * @param folder the folder
   * @throws IOException if the entries may not survive a power loss
   */
  void syncFolder(Path folder) throws IOException;

  /**
   * Acquires an exclusive lock that is released at the latest when the process ends.
   *
   * @param file the lock file
   * @return the lock; closing it releases it
   * @throws IOException if the lock file can't be opened or locked
   * @throws FolderInUseException if the lock is already held
   */
  AutoCloseable lock(Path file) throws IOException;
}
