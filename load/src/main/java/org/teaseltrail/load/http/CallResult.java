package org.teaseltrail.load.http;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.teaseltrail.load.measure.RequestOutcome;
import org.teaseltrail.load.workload.PlannedRequest;

/**
 * Is what a caller got for one request.
 *
 * @param planned the request
 * @param outcome how it ended
 * @param reason what the system called it, such as {@code completed} or {@code shed}
 * @param saidNotRun whether the caller was told that it did not run
 * @param requestId the id that the system gave it, if the caller heard it
 * @param firstTokenNs time from the intended start to the first token
 * @param endNs time from the intended start to the end
 * @param usage the work done, if told
 * @param faults what is wrong with the answer
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
    Set<AnswerFault> faults) {

  /** Copies the set. */
  CallResult {
    faults = Set.copyOf(faults);
  }

  CallResult withFaults(Set<AnswerFault> newFaults) {
    return new CallResult(
        planned, outcome, reason, saidNotRun, requestId, firstTokenNs, endNs, usage, newFaults);
  }
}
