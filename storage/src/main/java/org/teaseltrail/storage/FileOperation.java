package org.teaseltrail.storage;

import java.io.IOException;

/** Is a step on files that may fail. */
@FunctionalInterface
interface FileOperation<T> {

  T run() throws IOException;
}
