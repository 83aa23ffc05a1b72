package org.teaseltrail.core.forward;

import org.teaseltrail.core.backpressure.RateLimit;
import org.teaseltrail.core.registry.UpstreamIncarnation;

/** Takes in how much work upstreams ask for in their answers. */
public final class BackpressureHandler {

  private final UpstreamTracker upstreams;
  private final RateLimitClient limits;

  BackpressureHandler(UpstreamTracker upstreams, RateLimitClient limits) {
    this.upstreams = upstreams;
    this.limits = limits;
  }

  /**
   * Takes what an answer says of its upstream's limit.
   *
   * @param upstream the upstream's life
   * @param limit the limit, {@link RateLimit#UNLIMITED} if it names none
   * @param dispatchedNs when the answered request was dispatched
   * @param nowNs time
   * @return whether it is another one than this VM knew
   */
  public boolean limit(
      UpstreamIncarnation upstream, RateLimit limit, long dispatchedNs, long nowNs) {
    return limits.recordRateLimit(upstream, limit, dispatchedNs, nowNs);
  }

  /**
   * Takes that an upstream turned a request away and wants none from this VM for a while.
   *
   * @param upstream the upstream's life
   * @param backoffMs for how long, in milliseconds
   * @param nowNs time
   * @return whether it was not backed off already
   */
  public boolean startBackoff(UpstreamIncarnation upstream, long backoffMs, long nowNs) {
    return upstreams.startBackoff(upstream, backoffMs, nowNs);
  }

  /**
   * Takes that an upstream says that it is about to leave.
   *
   * @param upstream the upstream's life
   * @return whether that is news
   */
  public boolean leaving(UpstreamIncarnation upstream) {
    return upstreams.markLeaving(upstream);
  }

  /**
   * Tells whether a request that was dispatched may be sent now that there is a connection.
   *
   * @param upstream the upstream's life
   * @param nowNs time
   * @return false if the upstream has asked to back off meanwhile, or is about to leave
   */
  public boolean canSend(UpstreamIncarnation upstream, long nowNs) {
    return !upstreams.backpressure(upstream).isUnavailable(nowNs);
  }
}
