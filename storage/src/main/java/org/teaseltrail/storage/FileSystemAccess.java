package org.teaseltrail.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * Is the little that the data folder needs of a file system, so that a test can stand in for one
 * that loses what isn't synced.
 */
public interface FileSystemAccess {

  /**
   * Makes a folder and those above it, unless there.
   *
   * @param folder the folder
   * @throws IOException if it can't be made
   */
  void createFolder(Path folder) throws IOException;

  /**
   * Lists a folder.
   *
   * @param folder the folder
   * @return names of its files, sorted
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
   * Opens a file at its end, and makes it unless there.
   *
   * @param file the file
   * @return the open file
   * @throws IOException if it can't be opened
   */
  AppendFile openAppend(Path file) throws IOException;

  /**
   * Renames a file in one step; one of the new name is replaced.
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
   * Syncs the names in a folder.
   *
   * @param folder the folder
   * @throws IOException if the names may not outlive a loss of power
   */
  void syncFolder(Path folder) throws IOException;

  /**
   * Takes a lock that ends with the process.
   *
   * @param file the lock file
   * @return the lock, to be closed
   * @throws IOException if it can't be tried
   * @throws FolderInUseException if another holds it
   */
  AutoCloseable lock(Path file) throws IOException;
}
