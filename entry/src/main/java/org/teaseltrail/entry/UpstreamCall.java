package org.teaseltrail.entry;

/** Is one connection to an upstream. Called on the node's thread. */
interface UpstreamCall {

  /** Closes the connection. Its events are late from now on. */
  void close();
}
