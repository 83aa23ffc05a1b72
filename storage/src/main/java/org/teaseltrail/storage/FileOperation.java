package org.teaseltrail.storage;

import java.io.IOException;

/** A file operation with a result that may throw an I/O error. */
@FunctionalInterface
interface FileOperation<T> {

  T run() throws IOException;
}
