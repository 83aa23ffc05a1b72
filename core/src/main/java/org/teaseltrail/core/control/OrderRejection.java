package org.teaseltrail.core.control;

/** Says why an operator's order was not sent. */
public enum OrderRejection {
  /** The configuration does not allow the upstream. */
  UNKNOWN_UPSTREAM,
  /** The upstream has not announced itself lately, so its address is not known. */
  SILENT_UPSTREAM
}
