package org.teaseltrail.core.request;

import java.util.EnumSet;
import java.util.Set;

/** Says how far a request has come. */
public enum RequestState {
  /** Read from the caller and not offered yet. */
  RECEIVED,
  /** Offered to its pool's scheduler. */
  WAITING,
  /** Given an upstream; no byte of it has been written there. */
  GRANTED,
  /** Its bytes may have reached the upstream. */
  DISPATCHED,
  /** Frames of its answer have arrived. */
  STREAMING,
  /** It has its outcome. */
  ENDED;

  /** Returns whether an upstream may know of the request. */
  public boolean isDispatched() {
    return this == DISPATCHED || this == STREAMING;
  }

  /** Returns whether a scheduler may still give the request an upstream. */
  public boolean isWaiting() {
    return this == RECEIVED || this == WAITING;
  }

  /** Returns whether the state may change to the other. */
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
