package org.teaseltrail.core.request;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.ClaimState;
import org.teaseltrail.core.message.Usage;

/** Is how a request ended, as its caller is told. */
public sealed interface Outcome {

  /** Returns whether the request ran. */
  Ran ran();

  /**
   * The whole answer has been delivered.
   *
   * @param usage the work done
   */
  record Completed(Usage usage) implements Outcome {

    @Override
    public Ran ran() {
      return Ran.YES;
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
    public Ran ran() {
      return Ran.NO;
    }
  }

  /**
   * The request was dispatched and its whole answer did not arrive.
   *
   * @param reason why
   */
  record MayHaveRun(FailureReason reason) implements Outcome {

    @Override
    public Ran ran() {
      return Ran.MAYBE;
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
    public Ran ran() {
      return state == ClaimState.COMPLETED ? Ran.YES : Ran.MAYBE;
    }
  }
}
