package org.teaseltrail.load.http;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * Compares the results that callers received with the executions that the stand-ins (simulated
 * upstreams) counted.
 */
final class ExecutionValidator {

  private final StandinCounters counters;

  ExecutionValidator(StandinCounters counters) {
    this.counters = counters;
  }

  /** Returns the results, extended by the faults that the counters reveal. */
  List<CallResult> check(List<CallResult> results) {
    return results.stream().map(this::check).toList();
  }

  private CallResult check(CallResult result) {
    int executions = result.requestId().map(counters::executions).orElse(0);
    Set<ResponseFault> faults = EnumSet.noneOf(ResponseFault.class);
    faults.addAll(result.faults());
    if (executions > 1) {
      faults.add(ResponseFault.RAN_TWICE);
    }
    if (result.saidNotRun() && executions > 0) {
      faults.add(ResponseFault.RAN_THOUGH_DENIED);
    }
    return result.withFaults(faults);
  }
}
