package org.teaseltrail.forward;

import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.backpressure.RateLimit;

/**
 * Is what the head of an upstream's answer says.
 *
 * @param requestId the request that it answers
 * @param signed whether the upstream vouches for it
 * @param notRun whether it says that the request did not run
 * @param eventStream whether events follow
 * @param load the upstream's load, if it is told
 * @param limit what the upstream takes from all VMs, {@link RateLimit#UNLIMITED} if it names no
 *     limit; empty if it names one that can't be read, or if nothing follows from its silence
 * @param backoffMs for how long the upstream that turns this request away wants none from this VM,
 *     in milliseconds, if it says so
 * @param leaving whether the upstream says that it is about to leave
 */
public record AnswerHead(
    Optional<String> requestId,
    boolean signed,
    boolean notRun,
    boolean eventStream,
    Optional<ToldLoad> load,
    Optional<RateLimit> limit,
    OptionalLong backoffMs,
    boolean leaving) {

  /**
   * Is the load that an upstream tells.
   *
   * @param running requests that it works on
   * @param waiting requests that wait there
   */
  public record ToldLoad(int running, int waiting) {}
}
