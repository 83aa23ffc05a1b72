package org.teaseltrail.load.http;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** Compares what callers were told with what ran at the stand-ins. */
final class ExecutionCheck {

  private final StandinCounters counters;

  ExecutionCheck(StandinCounters counters) {
    this.counters = counters;
  }

  /** Returns the results with the faults added that the counters show. */
  List<CallResult> check(List<CallResult> results) {
    return results.stream().map(this::check).toList();
  }

  private CallResult check(CallResult result) {
    int executions = result.requestId().map(counters::executions).orElse(0);
    Set<AnswerFault> faults = EnumSet.noneOf(AnswerFault.class);
    faults.addAll(result.faults());
    if (executions > 1) {
      faults.add(AnswerFault.RAN_TWICE);
    }
    if (result.saidNotRun() && executions > 0) {
      faults.add(AnswerFault.RAN_THOUGH_DENIED);
    }
    return result.withFaults(faults);
  }
}
