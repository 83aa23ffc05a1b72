package org.teaseltrail.load.http;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.teaseltrail.load.measure.RequestOutcome;
import org.teaseltrail.load.workload.PlannedRequest;

/**
 * Result of one request from the caller's point of view.
 *
 * @param planned the request
 * @param outcome how it ended
 * @param reason the reason that the system reported, such as {@code completed} or {@code shed}
 * @param saidNotRun whether the system reported that the request did not run
 * @param requestId the id that the system assigned, if the caller received it
 * @param firstTokenNs time from the intended start to the first token
 * @param endNs time from the intended start to the end
 * @param usage the tokens used, if reported
 * @param faults the faults detected in the response
 */
record CallResult(
    PlannedRequest planned,
    RequestOutcome outcome,
    String reason,
    boolean saidNotRun,
    Optional<String> requestId,
    OptionalLong firstTokenNs,
    long endNs,
    Optional<CallerJson.UsageData> usage,
    Set<ResponseFault> faults) {

  /** Creates the result with a copy of the faults. */
  CallResult {
    faults = Set.copyOf(faults);
  }

  CallResult withFaults(Set<ResponseFault> newFaults) {
    return new CallResult(
        planned, outcome, reason, saidNotRun, requestId, firstTokenNs, endNs, usage, newFaults);
  }
}
