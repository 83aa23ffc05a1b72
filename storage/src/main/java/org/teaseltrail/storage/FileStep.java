package org.teaseltrail.storage;

import java.io.IOException;

/** Is a step on files that may fail and has no result. */
@FunctionalInterface
interface FileStep {

  void run() throws IOException;
}
