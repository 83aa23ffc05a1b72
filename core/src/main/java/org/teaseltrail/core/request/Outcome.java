package org.teaseltrail.core.request;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.ClaimState;
import org.teaseltrail.core.message.Usage;

/** Final outcome of a request, as reported to the caller. */
public sealed interface Outcome {

  /** Returns whether the request was executed. */
  ExecutionStatus ran();

  /**
   * The complete answer was delivered.
   *
   * @param usage tokens processed for the request
   */
  record Completed(Usage usage) implements Outcome {

    @Override
    public ExecutionStatus ran() {
      return ExecutionStatus.YES;
    }
  }

  /**
   * The request was not executed.
   *
   * @param reason the reason
   * @param retryAfterMs time after which the caller can retry; zero if a retry is pointless
   */
  record NotRun(NotRunReason reason, long retryAfterMs) implements Outcome {

    @Override
    public ExecutionStatus ran() {
      return ExecutionStatus.NO;
    }
  }

  /**
   * The request was dispatched and its complete answer was not received.
   *
   * @param reason the reason
   */
  record MayHaveRun(FailureReason reason) implements Outcome {

    @Override
    public ExecutionStatus ran() {
      return ExecutionStatus.MAYBE;
    }
  }

  /**
   * An earlier request has claimed the idempotency key; this one was not executed in addition.
   *
   * @param holder the earlier request
   * @param state claim state of the earlier request
   */
  record HeldByEarlier(RequestId holder, ClaimState state) implements Outcome {

    @Override
    public ExecutionStatus ran() {
      return state == ClaimState.COMPLETED ? ExecutionStatus.YES : ExecutionStatus.MAYBE;
    }
  }
}
