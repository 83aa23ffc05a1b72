package org.teaseltrail.core.request;

import java.util.EnumSet;
import java.util.Set;

/** State of a request. */
public enum RequestState {
  /** Received from the caller and not yet offered to a scheduler. */
  RECEIVED,
  /** Offered to the scheduler of its pool. */
  WAITING,
  /** An upstream is granted; no byte of the request has been written to it. */
  GRANTED,
  /** Bytes of the request may have reached the upstream. */
  DISPATCHED,
  /** The answer has started, or the stream of an earlier request has been taken over. */
  STREAMING,
  /** The outcome is final. */
  ENDED;

  /** Returns whether the request may have reached an upstream. */
  public boolean isDispatched() {
    return this == DISPATCHED || this == STREAMING;
  }

  /** Returns whether a scheduler can still grant the request an upstream. */
  public boolean isWaiting() {
    return this == RECEIVED || this == WAITING;
  }

  /** Returns whether the transition to the other state is allowed. */
  boolean canTransitionTo(RequestState next) {
    return successors().contains(next);
  }

  private Set<RequestState> successors() {
    return switch (this) {
      case RECEIVED -> EnumSet.of(WAITING, ENDED);
      case WAITING -> EnumSet.of(GRANTED, STREAMING, ENDED);
      case GRANTED -> EnumSet.of(WAITING, DISPATCHED, ENDED);
      case DISPATCHED -> EnumSet.of(STREAMING, ENDED);
      case STREAMING -> EnumSet.of(ENDED);
      case ENDED -> EnumSet.noneOf(RequestState.class);
    };
  }
}
