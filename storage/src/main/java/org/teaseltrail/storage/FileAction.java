package org.teaseltrail.storage;

import java.io.IOException;

/** A file operation without a result that may throw an I/O error. */
@FunctionalInterface
interface FileAction {

  void run() throws IOException;
}
