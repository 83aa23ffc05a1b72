package org.teaseltrail.core.plan;

/** Kind of the requests of a route; determines whether one may be executed more than once. */
public enum RouteKind {
  /** Idempotent requests: executing one again has no further effect. */
  SAFE {
    @Override
    public boolean canRetry(boolean resumable) {
      return true;
    }
  },
  /** Non-idempotent requests: each is sent to an upstream at most once. */
  UNSAFE {
    @Override
    public boolean canRetry(boolean resumable) {
      return false;
    }
  },
  /** Requests that are answered with a stream of numbered events. */
  STREAMING {
    @Override
    public boolean canRetry(boolean resumable) {
      return resumable;
    }
  };

  /**
   * Returns whether a request that may have been executed can be sent again.
   *
   * @param resumable whether the streams of the route can be resumed at another upstream
   * @return true if a second execution is harmless
   */
  public abstract boolean canRetry(boolean resumable);
}
