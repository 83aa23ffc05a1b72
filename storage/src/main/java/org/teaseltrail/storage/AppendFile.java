package org.teaseltrail.storage;

import java.io.Closeable;
import java.io.IOException;

/** An open file that is written only by appending. */
public interface AppendFile extends Closeable {

  /**
   * Appends bytes. If this fails, a prefix of them may have been written.
   *
   * @param bytes the bytes to append
   * @throws IOException if not all bytes are written
   */
  void append(byte[] bytes) throws IOException;

  /**
   * Truncates the file.
   *
   * @param sizeBytes the new size in bytes, at most the current one
   * @throws IOException if the file can't be truncated
   */
  void truncate(long sizeBytes) throws IOException;

  /**
   * Syncs the content and the size to disk.
   *
   * @throws IOException if they may not survive a power loss; it is then unknown which data is lost
   */
  void sync() throws IOException;
}
