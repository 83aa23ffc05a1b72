package org.teaseltrail.core.message;

/** Says why an entry VM did not dispatch a granted request. Nothing ran in any of these cases. */
public enum DeclineReason {
  /** No connection to the upstream came about. */
  CONNECT_FAILED,
  /** The VM knows the upstream as leaving. */
  LEAVING,
  /** The upstream refused the request before it ran. */
  REFUSED_BY_UPSTREAM,
  /** The VM no longer holds the request. */
  UNKNOWN_REQUEST,
  /** The grant is from an older leadership than one the VM has seen. */
  STALE_GRANT,
  /** The grant is from the newest leadership, but the VM has no valid session at the moment. */
  NO_SESSION
}
