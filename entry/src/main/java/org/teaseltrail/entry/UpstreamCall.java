package org.teaseltrail.entry;

/** A call to an upstream over its own connection. Used on the node thread. */
interface UpstreamCall {

  /** Closes the connection. Events of the call that arrive later are ignored. */
  void close();
}
