package org.teaseltrail.core.forward;

/** The result of checking a request against its customer's quota. */
enum QuotaVerdict {
  /** The request is within the quota. */
  WITHIN,
  /**
   * The request is within the quota but exceeds this VM's allowance, so that the VM must request
   * more from the leader first.
   */
  NEEDS_ALLOWANCE,
  /**
   * The request may be over the quota, by less than the tolerance. It may use capacity that is free
   * now, and takes no slot from requests that are within their quotas.
   */
  WITHIN_TOLERANCE,
  /** The request is over the quota and is refused. */
  OVER
}
