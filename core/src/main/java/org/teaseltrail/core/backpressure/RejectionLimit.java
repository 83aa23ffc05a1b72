package org.teaseltrail.core.backpressure;

/**
 * Number of requests that an upstream can reject for want of room within a second without crashing,
 * as it announces itself.
 *
 * @param perSecond the number, 0 or more; infinite if the upstream announces none
 */
public record RejectionLimit(double perSecond) {

  /** The upstream tolerates any number of rejections. */
  public static final RejectionLimit NONE = new RejectionLimit(Double.POSITIVE_INFINITY);

  /**
   * Returns whether the upstream tolerates a limited number of rejections only.
   *
   * @return false for {@link #NONE}
   */
  public boolean isLimited() {
    return perSecond < Double.POSITIVE_INFINITY;
  }
}
