package org.teaseltrail.core.forward;

import org.teaseltrail.core.backpressure.RateLimit;
import org.teaseltrail.core.backpressure.RejectionLimit;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.registry.UpstreamIncarnation;

/**
 * Handles the backpressure signals in upstreams' responses: rate limits, backoffs and announcements
 * that an upstream is leaving.
 */
public final class BackpressureHandler {

  private final UpstreamTracker upstreams;
  private final RateLimitClient limits;
  private final RejectionLimitTracker rejectionLimits;

  BackpressureHandler(
      UpstreamTracker upstreams, RateLimitClient limits, RejectionLimitTracker rejectionLimits) {
    this.upstreams = upstreams;
    this.limits = limits;
    this.rejectionLimits = rejectionLimits;
  }

  /**
   * Records the rate limit in a response.
   *
   * @param upstream the upstream's incarnation
   * @param limit the limit, {@link RateLimit#UNLIMITED} if the response names none
   * @param dispatchedNs when the request was dispatched that the response belongs to, in
   *     nanoseconds
   * @param nowNs current time, in nanoseconds
   * @return whether the limit differs from the one known to this VM
   */
  public boolean limit(
      UpstreamIncarnation upstream, RateLimit limit, long dispatchedNs, long nowNs) {
    return limits.recordRateLimit(upstream, limit, dispatchedNs, nowNs);
  }

  /**
   * Records how many rejections an upstream tolerates according to a response.
   *
   * @param service the upstream's service
   * @param limit the limit, {@link RejectionLimit#NONE} if the response names none
   * @param dispatchedNs when the request was dispatched that the response belongs to, in
   *     nanoseconds
   * @param nowNs current time, in nanoseconds
   * @return whether it changes how requests for the service are dispatched
   */
  public boolean rejectionLimit(
      ServiceId service, RejectionLimit limit, long dispatchedNs, long nowNs) {
    return rejectionLimits.record(service, limit, dispatchedNs, nowNs);
  }

  /**
   * Records that an upstream rejected a request and asked this VM to back off.
   *
   * @param upstream the upstream's incarnation
   * @param backoffMs duration of the backoff, in milliseconds
   * @param nowNs current time, in nanoseconds
   * @return whether the upstream was not backed off already
   */
  public boolean startBackoff(UpstreamIncarnation upstream, long backoffMs, long nowNs) {
    return upstreams.startBackoff(upstream, backoffMs, nowNs);
  }

  /**
   * Records that an upstream has announced that it is about to leave.
   *
   * @param upstream the upstream's incarnation
   * @return whether it was not known to be leaving
   */
  public boolean leaving(UpstreamIncarnation upstream) {
    return upstreams.markLeaving(upstream);
  }

  /**
   * Returns whether a dispatched request may still be sent once the connection is established.
   *
   * @param upstream the upstream's incarnation
   * @param nowNs current time, in nanoseconds
   * @return false if the upstream has requested backoff in the meantime, or is about to leave
   */
  public boolean canSend(UpstreamIncarnation upstream, long nowNs) {
    return !upstreams.backpressure(upstream).isUnavailable(nowNs);
  }
}
