package org.teaseltrail.forward;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.teaseltrail.core.backpressure.RateLimit;
import org.teaseltrail.core.backpressure.RejectionLimit;

/**
 * The parsed head of an upstream's response.
 *
 * @param requestId id of the request that the response belongs to, if the head contains one
 * @param signed whether the head contains the upstream's response signature
 * @param notRun whether the upstream states that it did not run the request
 * @param eventStream whether the body is an event stream
 * @param load the upstream's load, if the head reports it
 * @param limit rate limit of the upstream over all VMs, {@link RateLimit#UNLIMITED} if the head
 *     contains no limit; empty if the limit is malformed, or if its absence carries no information
 * @param backoffMs time for which the upstream that rejects this request accepts no request from
 *     this VM, in milliseconds, if the head contains one
 * @param rejectionLimit how many rejections the upstream tolerates, {@link RejectionLimit#NONE} if
 *     the head names no limit; empty if the limit is malformed, or if its absence carries no
 *     information
 * @param leaving whether the upstream announces that it is about to deregister
 */
public record ResponseHead(
    Optional<String> requestId,
    boolean signed,
    boolean notRun,
    boolean eventStream,
    Optional<ReportedLoad> load,
    Optional<RateLimit> limit,
    OptionalLong backoffMs,
    Optional<RejectionLimit> rejectionLimit,
    boolean leaving) {

  /**
   * The load that an upstream reports.
   *
   * @param running number of requests that it processes
   * @param waiting number of requests that are queued at it
   * @param workTimePercent time that work takes there at present, in percent of the usual time, if
   *     it reports that
   */
  public record ReportedLoad(int running, int waiting, OptionalInt workTimePercent) {}
}
