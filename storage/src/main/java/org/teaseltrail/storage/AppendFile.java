package org.teaseltrail.storage;

import java.io.Closeable;
import java.io.IOException;

/** Is an open file that grows at its end. */
public interface AppendFile extends Closeable {

  /**
   * Writes at the end; on a failure, a part may have been written.
   *
   * @param bytes what to write
   * @throws IOException if not all is written
   */
  void append(byte[] bytes) throws IOException;

  /**
   * Cuts the file.
   *
   * @param sizeBytes the new size, not above the present one
   * @throws IOException if it can't be cut
   */
  void truncate(long sizeBytes) throws IOException;

  /**
   * Syncs content and size.
   *
   * @throws IOException if they may not outlive a loss of power; what is lost then is not known
   */
  void sync() throws IOException;
}
