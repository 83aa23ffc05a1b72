package org.teaseltrail.core.request;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.ClaimState;
import org.teaseltrail.core.message.Usage;

/** Is how a request ended, as its caller is told. */
public sealed interface Outcome {

  /** Returns whether the request ran. */
  ExecutionStatus ran();

  /**
   * The whole answer has been delivered.
   *
   * @param usage the work done
   */
  record Completed(Usage usage) implements Outcome {

    @Override
    public ExecutionStatus ran() {
      return ExecutionStatus.YES;
    }
  }

  /**
   * The request did not run.
   *
   * @param reason why
   * @param retryAfterMs when the caller may come back; zero if coming back is of no use
   */
  record NotRun(NotRunReason reason, long retryAfterMs) implements Outcome {

    @Override
    public ExecutionStatus ran() {
      return ExecutionStatus.NO;
    }
  }

  /**
   * The request was dispatched and its whole answer did not arrive.
   *
   * @param reason why
   */
  record MayHaveRun(FailureReason reason) implements Outcome {

    @Override
    public ExecutionStatus ran() {
      return ExecutionStatus.MAYBE;
    }
  }

  /**
   * An earlier request holds the key; this one did not run in its place.
   *
   * @param holder the earlier request
   * @param state how far the earlier request had come
   */
  record HeldByEarlier(RequestId holder, ClaimState state) implements Outcome {

    @Override
    public ExecutionStatus ran() {
      return state == ClaimState.COMPLETED ? ExecutionStatus.YES : ExecutionStatus.MAYBE;
    }
  }
}
