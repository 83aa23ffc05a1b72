package org.teaseltrail.core.plan;

/** Says what a route's requests are and so whether one may run more than once. */
public enum RouteKind {
  /** Running it again changes nothing: the request is idempotent. */
  SAFE {
    @Override
    public boolean canRetry(boolean resumable) {
      return true;
    }
  },
  /** Running it again changes something: it is sent to an upstream at most once. */
  UNSAFE {
    @Override
    public boolean canRetry(boolean resumable) {
      return false;
    }
  },
  /** The answer is a row of numbered events. */
  STREAMING {
    @Override
    public boolean canRetry(boolean resumable) {
      return resumable;
    }
  };

  /**
   * Tells whether a request that may have run may be sent again.
   *
   * @param resumable whether the route's streams may be resumed at another upstream
   * @return true if a second run harms nobody
   */
  public abstract boolean canRetry(boolean resumable);
}
