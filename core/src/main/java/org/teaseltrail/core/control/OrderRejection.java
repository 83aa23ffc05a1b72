package org.teaseltrail.core.control;

/** Reason why an operator's order was not sent. */
public enum OrderRejection {
  /** The configuration does not allow the upstream. */
  UNKNOWN_UPSTREAM,
  /** The upstream has no announcement that is still valid, so its address is unknown. */
  SILENT_UPSTREAM
}
