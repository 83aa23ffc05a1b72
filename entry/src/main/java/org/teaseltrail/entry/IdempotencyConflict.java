package org.teaseltrail.entry;

import org.teaseltrail.core.message.ClaimState;

/**
 * The response to a caller whose idempotency key is in use by an earlier request, by that request's
 * state.
 */
enum IdempotencyConflict {
  WAITING("key-waiting", "An earlier request under this key waits.", 1_000),
  RUNNING("key-running", "An earlier request under this key runs.", 1_000),
  COMPLETED("key-completed", "An earlier request under this key has completed.", 0),
  MAY_HAVE_RUN("key-may-have-run", "An earlier request under this key may have run.", 0);

  private final String problemName;
  private final String title;
  private final long retryAfterMs;

  IdempotencyConflict(String problemName, String title, long retryAfterMs) {
    this.problemName = problemName;
    this.title = title;
    this.retryAfterMs = retryAfterMs;
  }

  static IdempotencyConflict of(ClaimState state) {
    return switch (state) {
      case WAITING -> WAITING;
      case RUNNING -> RUNNING;
      case COMPLETED -> COMPLETED;
      case MAY_HAVE_RUN -> MAY_HAVE_RUN;
    };
  }

  String problemName() {
    return problemName;
  }

  String title() {
    return title;
  }

  long retryAfterMs() {
    return retryAfterMs;
  }
}
