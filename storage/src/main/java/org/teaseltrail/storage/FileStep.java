package org.teaseltrail.storage;

import java.io.IOException;

/** A file operation without a result that may throw an I/O error. */
@FunctionalInterface
interface FileStep {

  void run() throws IOException;
}
