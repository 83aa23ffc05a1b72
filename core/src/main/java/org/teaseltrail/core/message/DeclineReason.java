package org.teaseltrail.core.message;

/** Reason why an entry VM declines a grant. In each of these cases the request was not executed. */
public enum DeclineReason {
  /** The connection to the upstream could not be established. */
  CONNECT_FAILED,
  /** The VM knows that the upstream is leaving. */
  LEAVING,
  /** The upstream refused the request without executing it. */
  REFUSED_BY_UPSTREAM,
  /** The VM does not know the request, or no longer knows it. */
  UNKNOWN_REQUEST,
  /** The grant is from an earlier leadership than the latest one known to the VM. */
  STALE_GRANT,
  /** The grant is from the latest leadership, but the VM currently has no valid session. */
  NO_SESSION
}
